import { EndpointState } from "../../../model/EndpointState.js";
import { GateRef } from "../../../model/GateRef.js";
import { EndpointRecord } from "../../../model/EndpointRecord.js";
import { MemberRecord } from "../../../model/MemberRecord.js";
import { MemberState } from "../../../model/MemberState.js";
import { ServingEndpoint } from "../ServingEndpoint.js";
import { MemberDirectory } from "../MemberDirectory/index.js";

/** Finds the endpoints of a service that accept new work. The index is rebuilt when the directory has changed. */
export class EndpointIndex {
    private revision = -1;
    private byService: ReadonlyMap<string, readonly ServingEndpoint[]> = new Map();

    private constructor(private readonly directory: MemberDirectory) {}

    /** Creates an index of a directory's endpoints. */
    static create(directory: MemberDirectory): EndpointIndex {
        return new EndpointIndex(directory);
    }

    /** Returns the serving endpoints of a service on live members. */
    servingEndpoints(service: string): readonly ServingEndpoint[] {
        if (this.revision !== this.directory.revision) {
            this.byService = indexByService(this.directory.live());
            this.revision = this.directory.revision;
        }
        return this.byService.get(service) ?? [];
    }
}

function indexByService(members: readonly MemberRecord[]): ReadonlyMap<string, readonly ServingEndpoint[]> {
    const byService = new Map<string, ServingEndpoint[]>();
    for (const endpoint of members.filter((member) => member.state === MemberState.Serving).flatMap(servingEndpointsOf)) {
        const serving = byService.get(endpoint.record.service) ?? [];
        serving.push(endpoint);
        byService.set(endpoint.record.service, serving);
    }
    return byService;
}

function servingEndpointsOf(member: MemberRecord): readonly ServingEndpoint[] {
    return member.endpoints
        .filter((record) => record.state === EndpointState.Serving)
        .map((record) => ({ gate: createGateRef(member, record), record }));
}

function createGateRef(member: MemberRecord, record: EndpointRecord): GateRef {
    return {
        vm: member.vm,
        gate: record.gate,
        endpointId: record.endpointId,
        failureDomain: member.failureDomain,
        gateAddress: member.gateAddress,
        linkAddress: member.linkAddress,
    };
}
