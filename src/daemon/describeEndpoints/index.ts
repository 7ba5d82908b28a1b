import { MembershipController } from "../../controllers/MembershipController/index.js";
import { EndpointStatus } from "../../operators/EndpointStatus.js";
import { ProxyRole } from "../ProxyRole/index.js";

/**
 * Describes all endpoints that a process knows, with the load of those on its own VM.
 *
 * @param membership - Membership of the process, if started.
 * @param proxy - Its proxy role, if it has one.
 * @returns Endpoints of all live members.
 * @example
 * describeEndpoints(membership, proxy).length;
 */
export function describeEndpoints(membership: MembershipController | undefined, proxy: ProxyRole | undefined): readonly EndpointStatus[] {
    const members = membership?.directory.live() ?? [];
    return members.flatMap((member) => member.endpoints.map((endpoint): EndpointStatus => {
        const { vm, failureDomain } = member;
        const { endpointId, service, state, slots } = endpoint;
        const known = { vm, failureDomain, endpointId, service, state, slots };
        const local = vm === membership?.own.vm ? proxy?.endpoints.all().get(endpointId) : undefined;
        return local === undefined
            ? known
            : { ...known, running: local.gate.load.running, queued: local.gate.load.queued, drained: local.gate.isDrained };
    }));
}
