import { nowMs } from "../../clock/nowMs/index.js";
import { AcceptedChange } from "../../decisions/configuration/AcceptedChange.js";
import { comparePositions } from "../../decisions/configuration/comparePositions/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { ManifestPart } from "../../decisions/configuration/ManifestPart.js";
import { partKey } from "../../decisions/configuration/partKey/index.js";
import { assertInvariant } from "../../invariants/assertInvariant/index.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";

/** Number of changes kept for peers that are behind. */
const MAX_RECENT_CHANGES = 512;
/** Time after which an unanswered fetch is repeated, in ms. */
const FETCH_RETRY_MS = 500;

interface PendingFetch {
    readonly position: ConfigurationVersion;
    readonly sinceMs: number;
}

/**
 * Holds the current configuration of this process and distributes it by gossip: a process fetches a newer configuration from
 * any peer that reports one.
 */
export class ConfigurationController {
    private current = ConfigurationView.createEmpty();
    private recentChanges: AcceptedChange[] = [];
    private pendingFetch: PendingFetch | undefined;
    private readonly listeners: (() => void)[] = [];

    private constructor(private readonly events: EventLog) {}

    /** Creates a controller without a configuration. */
    static create(events: EventLog): ConfigurationController {
        return new ConfigurationController(events);
    }

    /** Current configuration. */
    get view(): ConfigurationView {
        return this.current;
    }

    /** Adds a listener that is called after each change of the configuration. */
    addListener(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Installs accepted changes in order. Skips changes that are already installed and everything after a gap. */
    installChanges(changes: readonly AcceptedChange[]): void {
        const previous = this.current;
        for (const change of changes) {
            if (change.position.version === this.current.position.version + 1) {
                this.setCurrent(this.current.withDelta(change.position, change.delta));
                this.recentChanges.push(change);
            }
        }
        this.recentChanges = this.recentChanges.slice(-MAX_RECENT_CHANGES);
        this.notifyListeners(previous);
    }

    /** Installs a whole configuration if it is newer than the current one. */
    installSnapshot(position: ConfigurationVersion, parts: readonly ManifestPart[]): void {
        if (comparePositions(position, this.current.position) <= 0) {
            return;
        }
        const previous = this.current;
        this.setCurrent(ConfigurationView.create(position, new Map(parts.map((part) => [partKey(part), part]))));
        this.recentChanges = [];
        this.notifyListeners(previous);
    }

    /** Fetches the missing changes from a peer that reports a newer position. */
    handlePeerPosition(link: PeerLink, position: ConfigurationVersion): void {
        const isNewer = comparePositions(position, this.current.position) > 0;
        const isFetching = this.pendingFetch !== undefined
            && comparePositions(position, this.pendingFetch.position) <= 0
            && nowMs() - this.pendingFetch.sinceMs < FETCH_RETRY_MS;
        if (isNewer && !isFetching) {
            this.pendingFetch = { position, sinceMs: nowMs() };
            link.send({ kind: MessageKind.ConfigurationFetch, have: this.current.position });
        }
    }

    /** Returns the missing changes for a peer that is behind, or a snapshot if they are no longer retained. */
    handleFetch(have: ConfigurationVersion): Message | undefined {
        if (comparePositions(have, this.current.position) >= 0) {
            return undefined;
        }
        const missing = this.recentChanges.filter((change) => change.position.version > have.version);
        const firstVersion = missing[0]?.position.version;
        if (firstVersion === have.version + 1) {
            return { kind: MessageKind.ConfigurationChanges, changes: missing };
        }
        return {
            kind: MessageKind.ConfigurationSnapshot,
            position: this.current.position,
            parts: [...this.current.parts.values()],
        };
    }

    private setCurrent(view: ConfigurationView): void {
        assertInvariant(
            comparePositions(view.position, this.current.position) > 0,
            "a configuration in force never reverts",
            `version ${view.position.version}`,
        );
        this.current = view;
    }

    private notifyListeners(previous: ConfigurationView): void {
        if (previous === this.current) {
            return;
        }
        this.pendingFetch = undefined;
        const { term, version } = this.current.position;
        this.events.record(EventNumber.ConfigurationInForce, { term, version });
        this.listeners.forEach((listener) => listener());
    }
}
