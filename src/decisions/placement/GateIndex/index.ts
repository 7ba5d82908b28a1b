import { crc32 } from "node:zlib";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { GateRecord } from "../../fleet/GateRecord.js";

interface IndexedGate {
    readonly record: GateRecord;
    readonly isLocal: boolean;
    readonly hashScore: number;
}

/**
 * Index of gates by service, in the order of preference of one entry: gates of its own failure domain first, and within
 * a domain by rendezvous hashing (Thaler and Ravishankar 1998), so that each gate ranks early for about the same number of
 * entries, and a change of one gate does not reorder the others.
 *
 * Updated whenever a gate record changes, so that the cost of a request does not grow with the fleet.
 */
export class GateIndex {
    private readonly byService = new Map<string, Map<string, IndexedGate>>();
    /** Cached order of the gates of each service; dropped when one of them changes. */
    private readonly ordered = new Map<string, readonly GateRecord[]>();
    private readonly serviceOf = new Map<string, string>();

    private constructor(private readonly vm: string, private readonly failureDomain: string) {}

    /**
     * Creates an empty index.
     *
     * @param vm - VM of the entry.
     * @param failureDomain - Its failure domain.
     */
    static create(vm: string, failureDomain: string): GateIndex {
        return new GateIndex(vm, failureDomain);
    }

    /** Stores the newest record of a gate; one that is closed or whose endpoint is not ready is removed. */
    put(record: GateRecord): void {
        const { vm, endpoint, isOpen } = record;
        this.remove(vm);
        if (!isOpen || endpoint?.phase !== EndpointPhase.Ready) {
            return;
        }
        const gates = this.byService.get(endpoint.service) ?? new Map<string, IndexedGate>();
        gates.set(vm, { record, isLocal: record.failureDomain === this.failureDomain, hashScore: crc32(`${this.vm} ${vm}`) });
        this.byService.set(endpoint.service, gates);
        this.serviceOf.set(vm, endpoint.service);
        this.ordered.delete(endpoint.service);
    }

    /** Gates that serve a service, most preferred first. */
    serving(service: string): readonly GateRecord[] {
        const cached = this.ordered.get(service);
        if (cached !== undefined) {
            return cached;
        }
        const gates = [...this.byService.get(service)?.values() ?? []].sort(comparePreference).map(({ record }) => record);
        this.ordered.set(service, gates);
        return gates;
    }

    /** Number of gates that serve a service. */
    count(service: string): number {
        return this.byService.get(service)?.size ?? 0;
    }

    private remove(vm: string): void {
        const service = this.serviceOf.get(vm);
        if (service !== undefined) {
            this.byService.get(service)?.delete(vm);
            this.serviceOf.delete(vm);
            this.ordered.delete(service);
        }
    }
}

function comparePreference(left: IndexedGate, right: IndexedGate): number {
    return left.isLocal === right.isLocal ? right.hashScore - left.hashScore : left.isLocal ? -1 : 1;
}
