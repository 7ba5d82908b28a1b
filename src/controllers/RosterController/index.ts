import { planRoster } from "../../decisions/claims/planRoster/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { MemberDirectory } from "../../decisions/membership/MemberDirectory/index.js";
import { Roster } from "../../decisions/claims/Roster.js";

const TICK_MS = 1_000;
const STABLE_TICKS = 2;

/** Keeps the roster of witnesses right, on control. */
export class RosterController {
    private readonly missingSinceMs = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;
    private knownMembers = 0;
    private stableTicks = 0;

    private constructor(
        private readonly view: () => ConfigurationView,
        private readonly directory: MemberDirectory,
        private readonly propose: (roster: Roster) => Promise<void>,
    ) {
        this.timer = setInterval(() => this.tick(), TICK_MS);
    }

    /**
     * Creates the controller.
     *
     * @param view - Configuration in force.
     * @param directory - Members of the fleet.
     * @param propose - Puts a roster in force.
     */
    static create(view: () => ConfigurationView, directory: MemberDirectory, propose: (roster: Roster) => Promise<void>): RosterController {
        return new RosterController(view, directory, propose);
    }

    /** Stops the timer. */
    close(): void {
        clearInterval(this.timer);
    }

    private tick(): void {
        const { fleet, roster } = this.view();
        const members = this.directory.live();
        this.stableTicks = members.length === this.knownMembers ? this.stableTicks + 1 : 0;
        this.knownMembers = members.length;
        this.trackMissing(roster);
        if (fleet === undefined || this.stableTicks < STABLE_TICKS) {
            return;
        }
        const next = planRoster(roster, members, fleet.witnessCount, this.missingSinceMs, fleet.keyRetentionMs, Date.now());
        if (next !== undefined) {
            void this.propose(next).catch(() => undefined);
        }
    }

    private trackMissing(roster: Roster | undefined): void {
        const live = new Set(this.directory.live().map((member) => member.vm));
        for (const { vm } of roster?.witnesses ?? []) {
            if (live.has(vm)) {
                this.missingSinceMs.delete(vm);
            }
            else if (!this.missingSinceMs.has(vm)) {
                this.missingSinceMs.set(vm, Date.now());
            }
        }
    }
}
