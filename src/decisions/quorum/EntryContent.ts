import { LogEntry } from "./LogEntry.js";

type WithoutPosition<T> = T extends unknown ? Omit<T, "index" | "term"> : never;

/** Content of an entry that a leader is asked to write. */
export type EntryContent = WithoutPosition<LogEntry>;
