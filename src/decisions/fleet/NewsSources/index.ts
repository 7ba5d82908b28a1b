import { NewsChoice } from "../NewsChoice.js";
import { NewsHub } from "../NewsHub.js";

/** Control VMs whose news a proxy takes; the second one covers for the first when it is cut off. */
const SOURCES = 2;
/** Time for which a control VM may be ahead of the news before it is asked itself, in ms: several round trips. */
const BEHIND_MS = 150;

/**
 * Decides from which control VMs a proxy takes the news of the configuration and of the fleet. All control VMs state
 * their position in the log with every heartbeat; when one of them is ahead of what the sources have sent, they are cut
 * off from the others, and the one that is ahead takes the place of a source.
 *
 * Answers for a core that is cut into parts, all of which the proxy can reach.
 */
export class NewsSources {
    private sources: string[] = [];
    private position = 0;
    private behindSinceMs: number | undefined;

    private constructor(private readonly failureDomain: string, private readonly random: () => number) {}

    /**
     * Creates sources without any control VM.
     *
     * @param failureDomain - Failure domain of the proxy: the first source is chosen there.
     * @param random - Source of numbers from 0 up to, but not including, 1.
     */
    static create(failureDomain: string, random: () => number): NewsSources {
        return new NewsSources(failureDomain, random);
    }

    /** Number of sources. */
    get count(): number {
        return this.sources.length;
    }

    /** Notes the position up to which the news have come. */
    reach(position: number): void {
        this.position = Math.max(this.position, position);
    }

    /** Takes a control VM out whose link is gone; false if it was no source. */
    lose(vm: string): boolean {
        const had = this.sources.includes(vm);
        this.sources = this.sources.filter((source) => source !== vm);
        return had;
    }

    /**
     * Reviews the sources.
     *
     * @param hubs - Control VMs that are linked and have been heard lately.
     * @param nowMs - Current time.
     * @returns What changes, and who sends the loads.
     */
    review(hubs: readonly NewsHub[], nowMs: number): NewsChoice {
        const silent = this.sources.filter((vm) => hubs.every((hub) => hub.vm !== vm));
        this.sources = this.sources.filter((vm) => !silent.includes(vm));
        const start: string[] = [];
        while (this.sources.length < Math.min(SOURCES, hubs.length)) {
            const next = this.draw(hubs.filter(({ vm }) => !this.sources.includes(vm)));
            this.sources.push(next);
            start.push(next);
        }
        const wanted = this.findAhead(hubs, nowMs) ?? this.findNearer(hubs);
        if (wanted === undefined || start.includes(wanted.vm)) {
            return { start, stop: silent, loadsFrom: this.nearest(hubs) };
        }
        const replaced = this.replaceBy(wanted, hubs);
        const isReplaced = (vm: string): boolean => replaced.includes(vm);
        return {
            start: [...start.filter((vm) => !isReplaced(vm)), wanted.vm],
            stop: [...silent, ...replaced.filter((vm) => !start.includes(vm))],
            loadsFrom: this.nearest(hubs),
        };
    }

    private isNear({ failureDomain }: NewsHub): boolean {
        return failureDomain === this.failureDomain;
    }

    /** A control VM of the own failure domain, if no source is in it and it is not behind. */
    private findNearer(hubs: readonly NewsHub[]): NewsHub | undefined {
        const hasNear = hubs.some((hub) => this.isNear(hub) && this.sources.includes(hub.vm));
        return hasNear ? undefined : hubs.find((hub) => this.isNear(hub) && hub.position >= this.position);
    }

    private nearest(hubs: readonly NewsHub[]): string | undefined {
        return hubs.find((hub) => this.isNear(hub) && this.sources.includes(hub.vm))?.vm ?? this.sources[0];
    }

    private draw(free: readonly NewsHub[]): string {
        const near = free.filter((hub) => this.isNear(hub));
        const choice = near.length > 0 && this.sources.length === 0 ? near : free;
        return choice[Math.floor(this.random() * choice.length)]?.vm ?? "";
    }

    private findAhead(hubs: readonly NewsHub[], nowMs: number): NewsHub | undefined {
        const first = hubs.reduce<NewsHub | undefined>((best, hub) => best === undefined || hub.position > best.position ? hub : best, undefined);
        if (first === undefined || first.position <= this.position) {
            this.behindSinceMs = undefined;
            return undefined;
        }
        this.behindSinceMs ??= nowMs;
        if (nowMs - this.behindSinceMs < BEHIND_MS) {
            return undefined;
        }
        this.behindSinceMs = nowMs;
        return first;
    }

    /** Puts a control VM in the place of the source that is furthest behind, unless it is a source itself. */
    private replaceBy(ahead: NewsHub, hubs: readonly NewsHub[]): readonly string[] {
        if (this.sources.includes(ahead.vm)) {
            return [];
        }
        const positionOf = (vm: string): number => hubs.find((hub) => hub.vm === vm)?.position ?? 0;
        const last = [...this.sources].sort((left, right) => positionOf(left) - positionOf(right)).slice(0, this.sources.length - SOURCES + 1);
        this.sources = [...this.sources.filter((vm) => !last.includes(vm)), ahead.vm];
        return last;
    }
}
