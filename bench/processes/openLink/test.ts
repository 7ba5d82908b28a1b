import { connect } from "node:net";
import test from "ava";
import { LinkController } from "../../../src/links/LinkController/index.js";
import { Role } from "../../../src/model/Role.js";
import { findFreePorts } from "../../findFreePorts/index.js";
import { fleetKey } from "../fleetKey.js";
import { openLink } from "./index.js";

test("a faulty process that knows the key opens a link, and one that does not is refused", async (t) => {
    const [port = 0] = await findFreePorts(1);
    const opened: string[] = [];
    const handler = {
        onOpen: (link: { readonly peer: { readonly vm: string } }) => opened.push(link.peer.vm),
        onMessage: () => undefined,
        onCall: () => Promise.resolve(undefined),
        onClose: () => undefined,
        onMessageError: () => undefined,
    };
    const links = await LinkController.create({
        identity: { vm: "self", startedAtMs: 1, failureDomain: "a", roles: [Role.Control], linkAddress: `127.0.0.1:${port}` },
        host: "127.0.0.1",
        port,
        fleetKey,
    }, handler, () => ({ term: 0, version: 0, manifestVersion: 0 }), () => undefined);
    const sockets = [connect(port, "127.0.0.1"), connect(port, "127.0.0.1")] as const;
    await openLink(sockets[0], `127.0.0.1:${port}`, "odd-1", fleetKey);
    await t.throwsAsync(openLink(sockets[1], `127.0.0.1:${port}`, "odd-2", "another key that is long enough"));
    t.deepEqual(opened, ["odd-1"]);
    sockets.forEach((socket) => socket.destroy());
    await links.close();
});
