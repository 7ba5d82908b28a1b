/** Records that a limit on what is held has refused more, as `BudgetLog.recordRefusal` does. */
export type RecordRefusal = (holder: string, held: number, limit: number, peer?: string) => void;
