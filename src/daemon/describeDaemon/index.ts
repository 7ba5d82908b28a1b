import { ConfigurationController } from "../../controllers/ConfigurationController/index.js";
import { MembershipController } from "../../controllers/MembershipController/index.js";
import { InvariantMonitor } from "../../invariants/InvariantMonitor/index.js";
import { LinkController } from "../../links/LinkController/index.js";
import { MemberState } from "../../model/MemberState.js";
import { DaemonStatus } from "../../operators/DaemonStatus.js";
import { Settings } from "../../settings/Settings.js";
import { ProxyRole } from "../ProxyRole/index.js";

const MICROSECONDS_PER_MS = 1_000;

/**
 * Collects the status of a process for the operator API.
 *
 * @param settings - Settings of the process.
 * @param incarnation - Incarnation of the process.
 * @param configuration - Its configuration controller.
 * @param membership - Its membership controller, if started.
 * @param links - Its links, if started.
 * @param proxy - Its proxy role, if it has one.
 * @returns The status.
 * @example
 * describeDaemon(settings, incarnation, configuration, membership, links, proxy).configuration.version;
 */
export function describeDaemon(
    settings: Settings,
    incarnation: string,
    configuration: ConfigurationController,
    membership: MembershipController | undefined,
    links: LinkController | undefined,
    proxy: ProxyRole | undefined,
): DaemonStatus {
    const usage = process.cpuUsage();
    const directory = membership?.directory;
    return {
        vm: settings.vm.name,
        failureDomain: settings.vm.failureDomain,
        roles: settings.roles,
        incarnation,
        state: membership?.ownRecord.state ?? MemberState.Left,
        configuration: configuration.view.position,
        ready: proxy?.isReady ?? true,
        links: [...links?.linkedVms ?? []].sort(),
        linkBytes: links?.bytes ?? { sent: 0, received: 0, sentToOtherDomains: 0 },
        members: (directory?.all() ?? []).map((record) => ({
            vm: record.vm,
            failureDomain: record.failureDomain,
            state: record.state,
            lost: directory?.isLost(record.vm) ?? false,
        })),
        inFlight: proxy?.entry.inFlight ?? 0,
        outcomes: proxy?.metrics.getOutcomeCounts() ?? {},
        latencies: proxy?.metrics.getLatencySummaries() ?? [],
        invariantViolations: InvariantMonitor.shared.violations,
        memoryBytes: process.memoryUsage.rss(),
        processorMs: (usage.user + usage.system) / MICROSECONDS_PER_MS,
    };
}
