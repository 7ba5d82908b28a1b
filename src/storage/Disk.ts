/** Files of one data folder. Written data lasts only once it is synced. */
export interface Disk {
    /** Reads a whole file, or undefined if there is none. */
    read(name: string): Promise<Buffer | undefined>;
    /** Appends to a file, which is created if there is none, and syncs it. Rejects if either fails. */
    append(name: string, data: Buffer): Promise<void>;
    /** Replaces a file so that either the old or the new content survives, and syncs it. */
    replace(name: string, data: Buffer): Promise<void>;
    /** Cuts a file to a length in bytes and syncs it. */
    truncate(name: string, length: number): Promise<void>;
}
