import { ItemKind } from "../ItemKind.js";
import { itemKey } from "../itemKey/index.js";
import { ItemOutcome } from "../ItemOutcome.js";
import { ItemOutcomeKind } from "../ItemOutcomeKind.js";
import { VersionedItem } from "../VersionedItem.js";

/**
 * The newest version of each configuration item, removals included. Versions of one item are ordered by their number
 * alone, so books that have seen the same versions in any order are equal.
 */
export class ItemBook {
    private readonly items = new Map<string, VersionedItem>();

    private constructor() {}

    /** Creates an empty book. */
    static create(): ItemBook {
        return new ItemBook();
    }

    /** All items, removals included. */
    get all(): readonly VersionedItem[] {
        return [...this.items.values()];
    }

    /** Number of items, removals included. */
    get size(): number {
        return this.items.size;
    }

    /**
     * Takes a change as a whole, or leaves the book as it is.
     *
     * @param changes - Items of one change.
     * @returns What became of it; a change that was accepted before is accepted again.
     */
    apply(changes: readonly VersionedItem[]): ItemOutcome {
        const outcome = this.decide(changes);
        if (outcome.kind === ItemOutcomeKind.Accepted) {
            this.merge(changes);
        }
        return outcome;
    }

    /** Tells what `apply` would answer, without taking the change. */
    decide(changes: readonly VersionedItem[]): ItemOutcome {
        return this.findConflict(changes) ?? this.findUnknownService(changes) ?? { kind: ItemOutcomeKind.Accepted };
    }

    /**
     * Takes over the items that are newer than those held.
     *
     * @returns The items that were newer.
     */
    merge(changes: readonly VersionedItem[]): readonly VersionedItem[] {
        const news = changes.filter((change) => change.version > this.versionOf(change.key));
        news.forEach((change) => this.items.set(change.key, change));
        return news;
    }

    private findConflict(changes: readonly VersionedItem[]): ItemOutcome | undefined {
        const seen = new Map<string, VersionedItem>();
        for (const change of changes) {
            const held = seen.get(`${change.key}@${change.version}`) ?? this.items.get(change.key);
            if (held?.version === change.version && held.document !== change.document) {
                return { kind: ItemOutcomeKind.Conflict, key: change.key, version: change.version };
            }
            seen.set(`${change.key}@${change.version}`, change);
        }
        return undefined;
    }

    private findUnknownService(changes: readonly VersionedItem[]): ItemOutcome | undefined {
        const after = ItemBook.create();
        after.merge(this.all);
        after.merge(changes);
        for (const { key, version, content } of changes) {
            const isNewest = after.items.get(key)?.version === version;
            if (content?.kind === ItemKind.Route && isNewest) {
                const unknown = content.services.find(({ service }) => !after.hasContent(itemKey(ItemKind.Service, service)));
                if (unknown !== undefined) {
                    return { kind: ItemOutcomeKind.UnknownService, key, service: unknown.service };
                }
            }
        }
        return undefined;
    }

    private hasContent(key: string): boolean {
        return this.items.get(key)?.content !== undefined;
    }

    private versionOf(key: string): number {
        return this.items.get(key)?.version ?? Number.NEGATIVE_INFINITY;
    }
}
