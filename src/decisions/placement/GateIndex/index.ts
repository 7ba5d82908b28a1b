import { crc32 } from "node:zlib";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { GateRecord } from "../../fleet/GateRecord.js";

interface IndexedGate {
    readonly record: GateRecord;
    readonly isNear: boolean;
    readonly rank: number;
}

/**
 * Gates by the service that they serve, in the order in which one entry prefers them: those of its own failure domain
 * first, and within a domain by rendezvous hashing (Thaler and Ravishankar 1998), so that each gate comes early in the
 * order of about as many entries, and a change of one gate does not move the others.
 *
 * Kept up to date by news, so that a request costs nothing that grows with the fleet.
 */
export class GateIndex {
    private readonly byService = new Map<string, Map<string, IndexedGate>>();
    /** Gates of a service in order, until one of them changes. */
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

    /** Takes the newest record of a gate. */
    put(record: GateRecord): void {
        const { vm, endpoint, isOpen } = record;
        this.remove(vm);
        if (!isOpen || endpoint?.phase !== EndpointPhase.Ready) {
            return;
        }
        const gates = this.byService.get(endpoint.service) ?? new Map<string, IndexedGate>();
        gates.set(vm, { record, isNear: record.failureDomain === this.failureDomain, rank: crc32(`${this.vm} ${vm}`) });
        this.byService.set(endpoint.service, gates);
        this.serviceOf.set(vm, endpoint.service);
        this.ordered.delete(endpoint.service);
    }

    /** Gates that serve a service, the preferred ones first. */
    serving(service: string): readonly GateRecord[] {
        const known = this.ordered.get(service);
        if (known !== undefined) {
            return known;
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
    return left.isNear === right.isNear ? right.rank - left.rank : left.isNear ? -1 : 1;
}
