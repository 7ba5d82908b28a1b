import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { MemberRecord } from "../../model/MemberRecord.js";
import { ConfigurationWarning } from "../ConfigurationWarning.js";

/**
 * Finds mismatches between a configuration and the fleet: services whose floor exceeds the announced slots, and members in
 * failure domains that the manifest does not name. Such a configuration is accepted nevertheless.
 *
 * @param view - Configuration in force.
 * @param members - Live members.
 * @returns The warnings; empty if there are no mismatches.
 * @example
 * findConfigurationWarnings(view, directory.live());
 */
export function findConfigurationWarnings(view: ConfigurationView, members: readonly MemberRecord[]): readonly ConfigurationWarning[] {
    const floorWarnings = view.services.flatMap((service): readonly ConfigurationWarning[] => {
        const slots = countAnnouncedSlots(service.name, members);
        return slots >= service.floorSlots
            ? []
            : [{ event: EventNumber.FloorAboveCapacity, subject: service.name, detail: `floorSlots ${service.floorSlots}, announced ${slots}` }];
    });
    const knownDomains = new Set(view.fleet?.failureDomains ?? []);
    const unknownDomainWarnings = members
        .filter((member) => view.fleet !== undefined && !knownDomains.has(member.failureDomain))
        .map((member) => ({ event: EventNumber.UnknownFailureDomain, subject: member.vm, detail: member.failureDomain }));
    return [...floorWarnings, ...unknownDomainWarnings];
}

function countAnnouncedSlots(service: string, members: readonly MemberRecord[]): number {
    return members
        .flatMap((member) => member.endpoints)
        .filter((endpoint) => endpoint.service === service)
        .reduce((sum, endpoint) => sum + endpoint.slots, 0);
}
