import { crc32 } from "node:zlib";
import { pathKey } from "../pathKey/index.js";
import { QuotaControl } from "../QuotaControl.js";

/** Multipliers and shifts of the final mix of MurmurHash3; checksums of similar names alone would be ordered alike. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/**
 * Orders the control VMs that a proxy asks for tokens of an organisation: those of its failure domain first, and otherwise by
 * rendezvous hashing, which spreads the load and changes little when a control VM comes or goes.
 *
 * @param controls - Control VMs.
 * @param proxy - Name and failure domain of the proxy.
 * @param organisation - Name of the organisation.
 * @returns The control VMs in the order in which they are asked.
 * @example
 * const [first] = controlOrder(controls, { vm: "vm-1", failureDomain: "a" }, "org-1");
 */
export function controlOrder(
    controls: readonly QuotaControl[],
    proxy: QuotaControl,
    organisation: string,
): readonly QuotaControl[] {
    const ranked = controls.map((control) => ({
        control,
        isForeign: Number(control.failureDomain !== proxy.failureDomain),
        score: mix(crc32(`${proxy.vm} ${organisation} ${pathKey(control)}`)),
    }));
    return ranked.sort((left, right) => left.isForeign - right.isForeign || right.score - left.score).map(({ control }) => control);
}

function mix(hash: number): number {
    const first = Math.imul(hash ^ (hash >>> 16), MIX_FIRST);
    const second = Math.imul(first ^ (first >>> 13), MIX_SECOND);
    return (second ^ (second >>> 16)) >>> 0;
}
