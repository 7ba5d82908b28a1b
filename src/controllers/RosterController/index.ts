import { planRoster } from "../../decisions/claims/planRoster/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { MemberDirectory } from "../../decisions/membership/MemberDirectory/index.js";
import { Roster } from "../../decisions/claims/Roster.js";

const TICK_MS = 1_000;
/** Ticks for which the number of members must be unchanged before the roster may change. */
const REQUIRED_STABLE_TICKS = 2;

/** Decides on a control VM when the roster of witnesses changes, and proposes the new one. */
export class RosterController {
    private readonly missingSinceMs = new Map<string, number>();
    private readonly timer: NodeJS.Timeout;
    private previousMemberCount = 0;
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
     * @param view - Returns the current configuration.
     * @param directory - Members of the fleet.
     * @param propose - Commits a new roster.
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
        this.stableTicks = members.length === this.previousMemberCount ? this.stableTicks + 1 : 0;
        this.previousMemberCount = members.length;
        this.trackMissingWitnesses(roster);
        if (fleet === undefined || this.stableTicks < REQUIRED_STABLE_TICKS) {
            return;
        }
        const next = planRoster(roster, members, fleet.witnessCount, this.missingSinceMs, fleet.keyRetentionMs, Date.now());
        if (next !== undefined) {
            void this.propose(next).catch(() => undefined);
        }
    }

    private trackMissingWitnesses(roster: Roster | undefined): void {
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
