import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { MemberRecord } from "../../model/MemberRecord.js";
import { ConfigurationWarning } from "../ConfigurationWarning.js";

/**
 * Finds what in a configuration does not fit the fleet: floors above the announced capacity, and members in failure
 * domains that the manifest does not name. Such a configuration is accepted all the same.
 *
 * @param view - Configuration in force.
 * @param members - Live members.
 * @returns Warnings, empty if all fits.
 * @example
 * findConfigurationWarnings(view, directory.live());
 */
export function findConfigurationWarnings(view: ConfigurationView, members: readonly MemberRecord[]): readonly ConfigurationWarning[] {
    const floors = view.services.flatMap((service): readonly ConfigurationWarning[] => {
        const slots = announcedSlots(service.name, members);
        return slots >= service.floorSlots
            ? []
            : [{ event: EventNumber.FloorAboveCapacity, subject: service.name, detail: `floorSlots ${service.floorSlots}, announced ${slots}` }];
    });
    const domains = new Set(view.fleet?.failureDomains ?? []);
    const strangers = members
        .filter((member) => view.fleet !== undefined && !domains.has(member.failureDomain))
        .map((member) => ({ event: EventNumber.UnknownFailureDomain, subject: member.vm, detail: member.failureDomain }));
    return [...floors, ...strangers];
}

function announcedSlots(service: string, members: readonly MemberRecord[]): number {
    return members
        .flatMap((member) => member.endpoints)
        .filter((endpoint) => endpoint.service === service)
        .reduce((sum, endpoint) => sum + endpoint.slots, 0);
}
