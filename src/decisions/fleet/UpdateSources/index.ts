import { SourceCandidate } from "../SourceCandidate.js";
import { SourceSelection } from "../SourceSelection.js";

/** Number of control VMs from which a proxy receives updates; the second one covers for the first in a network partition. */
const MAX_SOURCES = 2;
/** Time for which a control VM may be ahead of the received updates before it becomes a source, in ms: several round trips. */
const MAX_LAG_MS = 150;
/** Number of times that this wait doubles with each replacement, while the updates of the new source do not arrive either. */
const MAX_DOUBLINGS = 4;

/**
 * Decides from which control VMs a proxy receives updates of the configuration and the fleet. Every control VM reports its
 * log position with each heartbeat. If one stays ahead of the updates that the sources have sent, the sources are
 * partitioned from it, and it replaces the source that lags most. Each replacement has items sent again, which delays updates on a slow
 * link, so that the next one waits longer.
 *
 * Designed for network partitions among the control VMs in which the proxy can still reach all of them, and for links that take a
 * second for a large change.
 */
export class UpdateSources {
    private sources: string[] = [];
    private position = 0;
    private laggingSinceMs: number | undefined;
    /** Replacements since the received updates were up to date. */
    private replacements = 0;

    private constructor(private readonly failureDomain: string, private readonly random: () => number) {}

    /**
     * Creates a selection without any source.
     *
     * @param failureDomain - Failure domain of the proxy, from which the first source is chosen if possible.
     * @param random - Source of numbers from 0 up to, but not including, 1.
     */
    static create(failureDomain: string, random: () => number): UpdateSources {
        return new UpdateSources(failureDomain, random);
    }

    /** Number of current sources. */
    get count(): number {
        return this.sources.length;
    }

    /** Records the log position up to which updates have been received. */
    advancePosition(position: number): void {
        this.position = Math.max(this.position, position);
    }

    /** Removes a control VM whose link was lost; returns whether it was a source. */
    removeSource(vm: string): boolean {
        const wasSource = this.sources.includes(vm);
        this.sources = this.sources.filter((source) => source !== vm);
        return wasSource;
    }

    /**
     * Selects the sources again from the control VMs that can be reached.
     *
     * @param candidates - Control VMs with a live link.
     * @param nowMs - Current time.
     * @returns The changes to the subscriptions, and the source of the loads.
     */
    selectSources(candidates: readonly SourceCandidate[], nowMs: number): SourceSelection {
        const unreachable = this.sources.filter((vm) => candidates.every((candidate) => candidate.vm !== vm));
        this.sources = this.sources.filter((vm) => !unreachable.includes(vm));
        const toSubscribe: string[] = [];
        while (this.sources.length < Math.min(MAX_SOURCES, candidates.length)) {
            const next = this.pickRandom(candidates.filter(({ vm }) => !this.sources.includes(vm)));
            this.sources.push(next);
            toSubscribe.push(next);
        }
        const newSource = this.findAhead(candidates, nowMs) ?? this.findMissingLocal(candidates);
        if (newSource === undefined || toSubscribe.includes(newSource.vm)) {
            return { toSubscribe, toUnsubscribe: unreachable, loadSource: this.chooseLoadSource(candidates) };
        }
        const replaced = this.replaceMostLagging(newSource, candidates);
        const isReplaced = (vm: string): boolean => replaced.includes(vm);
        return {
            toSubscribe: [...toSubscribe.filter((vm) => !isReplaced(vm)), newSource.vm],
            toUnsubscribe: [...unreachable, ...replaced.filter((vm) => !toSubscribe.includes(vm))],
            loadSource: this.chooseLoadSource(candidates),
        };
    }

    private isLocal({ failureDomain }: SourceCandidate): boolean {
        return failureDomain === this.failureDomain;
    }

    /** Finds a control VM in the proxy's own failure domain that is up to date, if no source is in that domain. */
    private findMissingLocal(candidates: readonly SourceCandidate[]): SourceCandidate | undefined {
        const hasLocal = candidates.some((candidate) => this.isLocal(candidate) && this.sources.includes(candidate.vm));
        return hasLocal ? undefined : candidates.find((candidate) => this.isLocal(candidate) && candidate.position >= this.position);
    }

    private chooseLoadSource(candidates: readonly SourceCandidate[]): string | undefined {
        return candidates.find((candidate) => this.isLocal(candidate) && this.sources.includes(candidate.vm))?.vm ?? this.sources[0];
    }

    private pickRandom(available: readonly SourceCandidate[]): string {
        const local = available.filter((candidate) => this.isLocal(candidate));
        const pool = local.length > 0 && this.sources.length === 0 ? local : available;
        return pool[Math.floor(this.random() * pool.length)]?.vm ?? "";
    }

    /** Finds the control VM with the highest position, if it has been ahead of the received updates for too long. */
    private findAhead(candidates: readonly SourceCandidate[], nowMs: number): SourceCandidate | undefined {
        const mostAdvanced = candidates.reduce<SourceCandidate | undefined>(
            (best, candidate) => best === undefined || candidate.position > best.position ? candidate : best,
            undefined,
        );
        if (mostAdvanced === undefined || mostAdvanced.position <= this.position) {
            this.laggingSinceMs = undefined;
            this.replacements = 0;
            return undefined;
        }
        this.laggingSinceMs ??= nowMs;
        if (nowMs - this.laggingSinceMs < MAX_LAG_MS * 2 ** Math.min(MAX_DOUBLINGS, this.replacements)) {
            return undefined;
        }
        this.laggingSinceMs = nowMs;
        this.replacements += 1;
        return mostAdvanced;
    }

    /**
     * Replaces the source that lags most by a control VM, unless that is a source already.
     *
     * @returns The replaced sources.
     */
    private replaceMostLagging(replacement: SourceCandidate, candidates: readonly SourceCandidate[]): readonly string[] {
        if (this.sources.includes(replacement.vm)) {
            return [];
        }
        const positionOf = (vm: string): number => candidates.find((candidate) => candidate.vm === vm)?.position ?? 0;
        const lagging = [...this.sources].sort((left, right) => positionOf(left) - positionOf(right)).slice(0, this.sources.length - MAX_SOURCES + 1);
        this.sources = [...this.sources.filter((vm) => !lagging.includes(vm)), replacement.vm];
        return lagging;
    }
}
