import { ItemKind } from "../ItemKind.js";
import { itemKey } from "../itemKey/index.js";
import { ItemOutcome } from "../ItemOutcome.js";
import { ItemOutcomeKind } from "../ItemOutcomeKind.js";
import { VersionedItem } from "../VersionedItem.js";

/**
 * Holds the newest version of each configuration item, including tombstones of removed items. Versions of an item are
 * ordered by their number alone, so stores that have applied the same versions in any order are equal.
 */
export class ItemStore {
    private readonly items = new Map<string, VersionedItem>();

    private constructor() {}

    /** Creates an empty store. */
    static create(): ItemStore {
        return new ItemStore();
    }

    /** All items, including tombstones. */
    get all(): readonly VersionedItem[] {
        return [...this.items.values()];
    }

    /** Number of items, including tombstones. */
    get size(): number {
        return this.items.size;
    }

    /** Returns whether an item exists and is not removed. */
    hasContent(key: string): boolean {
        return this.items.get(key)?.content !== undefined;
    }

    /**
     * Applies a change atomically: either all of its items or none.
     *
     * @param changes - Items of one change.
     * @returns The outcome; a change that was accepted before is accepted again.
     */
    apply(changes: readonly VersionedItem[]): ItemOutcome {
        const outcome = this.validate(changes);
        if (outcome.kind === ItemOutcomeKind.Accepted) {
            this.merge(changes);
        }
        return outcome;
    }

    /** Returns the outcome that `apply` would have, without applying the change. */
    validate(changes: readonly VersionedItem[]): ItemOutcome {
        const conflict = this.findConflict(changes);
        if (conflict !== undefined) {
            return conflict;
        }
        const merged = ItemStore.create();
        merged.merge(this.all);
        const changedKeys = new Set(merged.merge(changes).map(({ key }) => key));
        return merged.findUnknownService(changedKeys) ?? merged.findSharedKey(changedKeys) ?? { kind: ItemOutcomeKind.Accepted };
    }

    /**
     * Stores the items that are newer than those in the store, without validation. Of several versions of an item the highest
     * one is stored, wherever it stands among the changes.
     *
     * @returns The items that were newer.
     */
    merge(changes: readonly VersionedItem[]): readonly VersionedItem[] {
        const newest = new Map<string, VersionedItem>();
        changes.forEach((change) => {
            if (change.version > (newest.get(change.key)?.version ?? this.versionOf(change.key))) {
                newest.set(change.key, change);
            }
        });
        newest.forEach((change, key) => this.items.set(key, change));
        return [...newest.values()];
    }

    private findConflict(changes: readonly VersionedItem[]): ItemOutcome | undefined {
        const seen = new Map<string, VersionedItem>();
        for (const change of changes) {
            const existing = seen.get(`${change.key}@${change.version}`) ?? this.items.get(change.key);
            if (existing?.version === change.version && existing.document !== change.document) {
                return { kind: ItemOutcomeKind.Conflict, key: change.key, version: change.version };
            }
            seen.set(`${change.key}@${change.version}`, change);
        }
        return undefined;
    }

    /** Finds a route that names an unknown service because a change has brought the route or removed the service. */
    private findUnknownService(changedKeys: ReadonlySet<string>): ItemOutcome | undefined {
        for (const { key, content } of this.items.values()) {
            if (content?.kind === ItemKind.Route) {
                const unknown = content.services.find(({ service }) => {
                    const serviceKey = itemKey(ItemKind.Service, service);
                    return !this.hasContent(serviceKey) && (changedKeys.has(key) || changedKeys.has(serviceKey));
                });
                if (unknown !== undefined) {
                    return { kind: ItemOutcomeKind.UnknownService, key, service: unknown.service };
                }
            }
        }
        return undefined;
    }

    /** Finds a key that belongs to two organisations of which a change has brought at least one. */
    private findSharedKey(changedKeys: ReadonlySet<string>): ItemOutcome | undefined {
        const holders = new Map<string, string>();
        for (const { key, content } of this.items.values()) {
            if (content?.kind === ItemKind.Organisation) {
                for (const apiKey of content.apiKeys) {
                    const other = holders.get(apiKey);
                    if (other !== undefined && other !== key && (changedKeys.has(key) || changedKeys.has(other))) {
                        return { kind: ItemOutcomeKind.SharedKey, key, other };
                    }
                    holders.set(apiKey, key);
                }
            }
        }
        return undefined;
    }

    private versionOf(key: string): number {
        return this.items.get(key)?.version ?? Number.NEGATIVE_INFINITY;
    }
}
