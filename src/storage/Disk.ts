/** File operations in a data folder. Each write is synced, since unsynced data may be lost in a crash. */
export interface Disk {
    /** Reads a whole file; resolves to undefined if it does not exist. */
    read(name: string): Promise<Buffer | undefined>;
    /** Appends to a file, creating it if needed, and syncs it. Rejects if either fails. */
    append(name: string, data: Buffer): Promise<void>;
    /** Replaces a file atomically, so that a crash leaves either the old or the new content, and syncs it. */
    replace(name: string, data: Buffer): Promise<void>;
    /** Truncates a file to a length in bytes and syncs it. */
    truncate(name: string, length: number): Promise<void>;
    /** Syncs a file that an earlier process may have written without syncing it. */
    sync(name: string): Promise<void>;
}
