import { isShortText } from "../../model/isShortText/index.js";
import { ControlPeer } from "../ControlPeer.js";

const ADDRESS = /^[^\s/:]+:(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Checks what another process has sent as a control VM. An address that nothing can be connected to must not be dialled, nor
 * passed on.
 *
 * @param value - What was received.
 * @returns True if it can be used as a control VM.
 * @example
 * isControlPeer({ vm: "control-1", linkAddress: "10.0.0.1:99999", identity: "control-1:ab" }); // false
 */
export function isControlPeer(value: unknown): value is ControlPeer {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { vm, linkAddress, identity } = value as Readonly<Record<string, unknown>>;
    if (!isShortText(vm) || !isShortText(identity) || !isShortText(linkAddress)) {
        return false;
    }
    const port = Number(ADDRESS.exec(linkAddress)?.[1]);
    return port > 0 && port <= MAX_PORT;
}
