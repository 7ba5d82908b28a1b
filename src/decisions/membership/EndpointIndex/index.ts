import { EndpointState } from "../../../model/EndpointState.js";
import { GateRef } from "../../../model/GateRef.js";
import { EndpointRecord } from "../../../model/EndpointRecord.js";
import { MemberRecord } from "../../../model/MemberRecord.js";
import { MemberState } from "../../../model/MemberState.js";
import { EndpointView } from "../EndpointView.js";
import { MemberDirectory } from "../MemberDirectory/index.js";

/** Finds the endpoints of a service that take new work; rebuilt when the directory has changed. */
export class EndpointIndex {
    private revision = -1;
    private byService: ReadonlyMap<string, readonly EndpointView[]> = new Map();

    private constructor(private readonly directory: MemberDirectory) {}

    /** Creates an index over a directory. */
    static create(directory: MemberDirectory): EndpointIndex {
        return new EndpointIndex(directory);
    }

    /** Returns the serving endpoints of a service on live members. */
    serving(service: string): readonly EndpointView[] {
        if (this.revision !== this.directory.revision) {
            this.byService = build(this.directory.live());
            this.revision = this.directory.revision;
        }
        return this.byService.get(service) ?? [];
    }
}

function build(members: readonly MemberRecord[]): ReadonlyMap<string, readonly EndpointView[]> {
    const byService = new Map<string, EndpointView[]>();
    for (const view of members.filter((member) => member.state === MemberState.Serving).flatMap(viewsOf)) {
        const views = byService.get(view.record.service) ?? [];
        views.push(view);
        byService.set(view.record.service, views);
    }
    return byService;
}

function viewsOf(member: MemberRecord): readonly EndpointView[] {
    return member.endpoints
        .filter((record) => record.state === EndpointState.Serving)
        .map((record) => ({ gate: gateRef(member, record), record }));
}

function gateRef(member: MemberRecord, record: EndpointRecord): GateRef {
    return {
        vm: member.vm,
        gate: record.gate,
        endpointId: record.endpointId,
        failureDomain: member.failureDomain,
        gateAddress: member.gateAddress,
        linkAddress: member.linkAddress,
    };
}
