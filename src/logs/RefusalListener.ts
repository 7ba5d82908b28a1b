/**
 * Called when a limit on what is held in memory refuses more.
 *
 * @param holder - Name of what is held; one of a few constant names.
 * @param held - What is held now, in the unit of the limit.
 * @param limit - The limit.
 * @param peer - Who caused the refusal, if known.
 */
export type RefusalListener = (holder: string, held: number, limit: number, peer?: string) => void;
