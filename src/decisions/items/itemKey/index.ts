import { ItemKind } from "../ItemKind.js";

/**
 * Builds the key that identifies an item among all items.
 *
 * @param kind - Kind of the item.
 * @param name - Name, unique within the kind.
 * @returns The key.
 * @example
 * itemKey(ItemKind.Route, "r-1"); // "route/r-1"
 */
export function itemKey(kind: ItemKind, name: string): string {
    return `${kind}/${name}`;
}
