import { crc32 } from "node:zlib";
import { RosterWitness } from "../RosterWitness.js";

const MAX_SHARE_OF_DOMAIN = 2;

/**
 * Chooses the witnesses of a key out of a pool by rendezvous hashing (Thaler and Ravishankar 1998), at most two of one
 * failure domain as long as there are others.
 *
 * @param key - Idempotency key with its scope.
 * @param pool - Witnesses of a roster.
 * @param count - Witnesses wanted.
 * @returns The witnesses; the same for the same key and pool on every process.
 * @example
 * witnessesFor("orders/plant-1/k", roster.witnesses, 5).length; // 5
 */
export function witnessesFor(key: string, pool: readonly RosterWitness[], count: number): readonly RosterWitness[] {
    const ranked = [...pool]
        .map((witness) => ({ witness, rank: crc32(`${key} ${witness.vm}`) }))
        .sort((left, right) => right.rank - left.rank || (left.witness.vm < right.witness.vm ? -1 : 1))
        .map(({ witness }) => witness);
    const chosen: RosterWitness[] = [];
    for (const witness of ranked) {
        const near = chosen.filter((other) => other.failureDomain === witness.failureDomain).length;
        if (chosen.length < count && near < MAX_SHARE_OF_DOMAIN) {
            chosen.push(witness);
        }
    }
    const rest = ranked.filter((witness) => !chosen.includes(witness));
    return [...chosen, ...rest.slice(0, count - chosen.length)];
}
