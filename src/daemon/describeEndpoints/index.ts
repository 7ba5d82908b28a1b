import { MembershipController } from "../../controllers/MembershipController/index.js";
import { EndpointStatus } from "../../operators/EndpointStatus.js";
import { ProxyRole } from "../ProxyRole/index.js";

/**
 * Lists the endpoints of all live members, with the current load of those on the VM itself.
 *
 * @param membership - Membership controller of the process, if started.
 * @param proxy - Its proxy role, if it has one.
 * @returns Status of each endpoint.
 * @example
 * describeEndpoints(membership, proxy).length;
 */
export function describeEndpoints(membership: MembershipController | undefined, proxy: ProxyRole | undefined): readonly EndpointStatus[] {
    const members = membership?.directory.live() ?? [];
    return members.flatMap((member) => member.endpoints.map((endpoint): EndpointStatus => {
        const { vm, failureDomain } = member;
        const { endpointId, service, state, slots } = endpoint;
        const announced = { vm, failureDomain, endpointId, service, state, slots };
        const localEndpoint = vm === membership?.ownRecord.vm ? proxy?.endpoints.all().get(endpointId) : undefined;
        return localEndpoint === undefined
            ? announced
            : {
                    ...announced,
                    running: localEndpoint.gate.load.running,
                    queued: localEndpoint.gate.load.queued,
                    drained: localEndpoint.gate.isDrained,
                };
    }));
}
