import { install } from "@sinonjs/fake-timers";
import test from "ava";
import { LineWriter } from "./index.js";

type Done = (error: Error | null, written: number) => void;

function create(): { readonly writer: LineWriter; readonly written: string[]; readonly pending: { data: Buffer; done: Done }[] } {
    const written: string[] = [];
    const pending: { data: Buffer; done: Done }[] = [];
    const writer = LineWriter.create((data, done) => {
        written.push(data.toString());
        pending.push({ data, done });
    }, (count) => `dropped ${count}`);
    return { writer, written, pending };
}

test("lines that are added during a write are written together after it", (t) => {
    const { writer, written, pending } = create();
    ["a", "b", "c"].forEach((line) => writer.add(line));
    t.deepEqual(written, ["a\n"]);
    pending[0]?.done(null, 2);
    t.deepEqual(written, ["a\n", "b\nc\n"]);
});

test("the rest of a partial write is written before any other line", (t) => {
    const { writer, written, pending } = create();
    writer.add("abc");
    writer.add("d");
    pending[0]?.done(null, 1);
    pending[1]?.done(null, 3);
    t.deepEqual(written, ["abc\n", "bc\n", "d\n"]);
});

test("a stalled reader causes bounded buffering, and the number of dropped lines is logged", (t) => {
    const { writer, written, pending } = create();
    const line = "x".repeat(999);
    for (let count = 0; count < 5_000; count += 1) {
        writer.add(line);
    }
    t.is(written.length, 1);
    pending[0]?.done(null, pending[0].data.length);
    pending[1]?.done(null, pending[1].data.length);
    writer.add("after");
    const lines = written.join("").trimEnd().split("\n");
    const kept = lines.filter((text) => text === line).length;
    t.true(kept > 900 && kept < 1_100, `${kept} kept`);
    t.deepEqual(lines.slice(-2), [`dropped ${5_000 - kept}`, "after"]);
});

test.serial("a write to a full pipe is retried after a delay", (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    const { writer, written, pending } = create();
    writer.add("a");
    pending[0]?.done(Object.assign(new Error("full"), { code: "EAGAIN" }), 0);
    t.is(written.length, 1);
    clock.tick(100);
    t.deepEqual(written, ["a\n", "a\n"]);
});

test("a write error does not prevent later writes", (t) => {
    const { writer, written, pending } = create();
    writer.add("a");
    pending[0]?.done(new Error("EPIPE"), 0);
    writer.add("b");
    t.deepEqual(written, ["a\n", "b\n"]);
});

test.serial("lines that are added within the batch time are written together", (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    const written: string[] = [];
    const writer = LineWriter.create((data) => written.push(data.toString()), String, 100);
    writer.add("a");
    clock.tick(50);
    writer.add("b");
    t.deepEqual(written, []);
    clock.tick(60);
    t.deepEqual(written, ["a\nb\n"]);
});
