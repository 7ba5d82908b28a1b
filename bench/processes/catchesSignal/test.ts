import test from "ava";
import { catchesSignal } from "./index.js";

test("a signal is caught once a handler for it is installed", (t) => {
    const handle = (): void => undefined;
    t.false(catchesSignal(process.pid, "SIGUSR2"));
    process.on("SIGUSR2", handle);
    t.true(catchesSignal(process.pid, "SIGUSR2"));
    process.off("SIGUSR2", handle);
});
