import { nowMs } from "../../clock/nowMs/index.js";
import { AcceptedChange } from "../../decisions/configuration/AcceptedChange.js";
import { comparePositions } from "../../decisions/configuration/comparePositions/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { ManifestPart } from "../../decisions/configuration/ManifestPart.js";
import { partKey } from "../../decisions/configuration/partKey/index.js";
import { assertInvariant } from "../../invariants/assertInvariant/index.js";
import { LinkPort } from "../../links/LinkPort.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";

const TAIL_CHANGES = 512;
const FETCH_RETRY_MS = 500;

interface Fetch {
    readonly position: ConfigurationVersion;
    readonly sinceMs: number;
}

/** Owns the configuration in force in this process and spreads it: whoever hears of a newer one fetches it. */
export class ConfigurationController {
    private current = ConfigurationView.createEmpty();
    private tail: AcceptedChange[] = [];
    private fetch: Fetch | undefined;
    private readonly listeners: (() => void)[] = [];

    private constructor(private readonly events: EventLog) {}

    /** Creates a controller with no configuration in force. */
    static create(events: EventLog): ConfigurationController {
        return new ConfigurationController(events);
    }

    /** Configuration in force. */
    get view(): ConfigurationView {
        return this.current;
    }

    /** Adds a function to be called after each change of the configuration. */
    addListener(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Puts accepted changes in force; changes already in force are skipped, and so is all behind a gap. */
    installChanges(changes: readonly AcceptedChange[]): void {
        const before = this.current;
        for (const change of changes) {
            if (change.position.version === this.current.position.version + 1) {
                this.put(this.current.advance(change.position, change.delta));
                this.tail.push(change);
            }
        }
        this.tail = this.tail.slice(-TAIL_CHANGES);
        this.notify(before);
    }

    /** Puts a whole configuration in force if it is newer. */
    installSnapshot(position: ConfigurationVersion, parts: readonly ManifestPart[]): void {
        if (comparePositions(position, this.current.position) <= 0) {
            return;
        }
        const before = this.current;
        this.put(ConfigurationView.create(position, new Map(parts.map((part) => [partKey(part), part]))));
        this.tail = [];
        this.notify(before);
    }

    /** Hears of the position of a peer, and fetches what is missing from it. */
    hear(link: LinkPort, position: ConfigurationVersion): void {
        const isNewer = comparePositions(position, this.current.position) > 0;
        const isFetching = this.fetch !== undefined
            && comparePositions(position, this.fetch.position) <= 0
            && nowMs() - this.fetch.sinceMs < FETCH_RETRY_MS;
        if (isNewer && !isFetching) {
            this.fetch = { position, sinceMs: nowMs() };
            link.send({ kind: MessageKind.ConfigurationFetch, have: this.current.position });
        }
    }

    /** Answers a peer that is behind: with the changes it lacks if they are still held, else with a snapshot. */
    answerFetch(have: ConfigurationVersion): Message | undefined {
        if (comparePositions(have, this.current.position) >= 0) {
            return undefined;
        }
        const missing = this.tail.filter((change) => change.position.version > have.version);
        const first = missing[0]?.position.version;
        if (first === have.version + 1) {
            return { kind: MessageKind.ConfigurationChanges, changes: missing };
        }
        return {
            kind: MessageKind.ConfigurationSnapshot,
            position: this.current.position,
            parts: [...this.current.parts.values()],
        };
    }

    private put(view: ConfigurationView): void {
        assertInvariant(
            comparePositions(view.position, this.current.position) > 0,
            "a configuration in force never reverts",
            `version ${view.position.version}`,
        );
        this.current = view;
    }

    private notify(before: ConfigurationView): void {
        if (before === this.current) {
            return;
        }
        this.fetch = undefined;
        const { term, version } = this.current.position;
        this.events.record(EventNumber.ConfigurationInForce, { term, version });
        this.listeners.forEach((listener) => listener());
    }
}
