import { LogEntry } from "./LogEntry.js";

type WithoutPosition<T> = T extends unknown ? Omit<T, "index" | "term"> : never;

/** A log entry before the leader assigns its index and term. */
export type EntryContent = WithoutPosition<LogEntry>;
