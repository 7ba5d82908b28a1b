import { crc32 } from "node:zlib";
import { RosterWitness } from "../RosterWitness.js";

const MAX_WITNESSES_PER_DOMAIN = 2;

/**
 * Selects the witnesses of a key from a pool by rendezvous hashing (Thaler and Ravishankar 1998). Selects no more than two
 * from one failure domain, unless the other domains have too few.
 *
 * @param key - Idempotency key, including its scope.
 * @param pool - Witnesses of a roster.
 * @param count - Number of witnesses to select.
 * @returns The witnesses; every process selects the same ones for the same key and pool.
 * @example
 * selectWitnesses("orders/plant-1/k", roster.witnesses, 5).length; // 5
 */
export function selectWitnesses(key: string, pool: readonly RosterWitness[], count: number): readonly RosterWitness[] {
    const ranked = [...pool]
        .map((witness) => ({ witness, rank: crc32(`${key} ${witness.vm}`) }))
        .sort((left, right) => right.rank - left.rank || (left.witness.vm < right.witness.vm ? -1 : 1))
        .map(({ witness }) => witness);
    const chosen: RosterWitness[] = [];
    for (const witness of ranked) {
        const sameDomainCount = chosen.filter((other) => other.failureDomain === witness.failureDomain).length;
        if (chosen.length < count && sameDomainCount < MAX_WITNESSES_PER_DOMAIN) {
            chosen.push(witness);
        }
    }
    const rest = ranked.filter((witness) => !chosen.includes(witness));
    return [...chosen, ...rest.slice(0, count - chosen.length)];
}
