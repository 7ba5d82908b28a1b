import { crc32 } from "node:zlib";
import { mixBits } from "../../../model/mixBits/index.js";
import { pathKey } from "../pathKey/index.js";
import { QuotaControl } from "../QuotaControl.js";

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
        score: mixBits(crc32(`${proxy.vm} ${organisation} ${pathKey(control)}`)),
    }));
    return ranked.sort((left, right) => left.isForeign - right.isForeign || right.score - left.score).map(({ control }) => control);
}
