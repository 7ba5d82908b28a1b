import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { Disk } from "../Disk.js";

/** The data folder of a process in the file system. */
export class FolderDisk implements Disk {
    /** Files whose names are durable, because the folder was synced after they had been created. */
    private readonly durableNames = new Set<string>();

    private constructor(private readonly folder: string) {}

    /**
     * Opens a data folder, creating it if needed.
     *
     * @param folder - Path of the folder.
     * @throws FleetError if the folder cannot be created or is not writable.
     */
    static async create(folder: string): Promise<FolderDisk> {
        const disk = new FolderDisk(folder);
        await disk.wrapErrors("", async () => {
            await mkdir(folder, { recursive: true });
            const probe = await open(join(folder, ".writable"), "w");
            await probe.close();
            // An earlier process may have ended between a rename and its sync.
            await disk.syncFolder();
        });
        return disk;
    }

    async read(name: string): Promise<Buffer | undefined> {
        try {
            return await readFile(join(this.folder, name));
        }
        catch (thrown) {
            const cause = toError(thrown) as NodeJS.ErrnoException;
            if (cause.code === "ENOENT") {
                return undefined;
            }
            throw this.createError(name, cause);
        }
    }

    async append(name: string, data: Buffer): Promise<void> {
        await this.writeFile(name, "a", data);
        if (!this.durableNames.has(name)) {
            await this.wrapErrors(name, () => this.syncFolder());
            this.durableNames.add(name);
        }
    }

    async replace(name: string, data: Buffer): Promise<void> {
        await this.writeFile(`${name}.new`, "w", data);
        await this.wrapErrors(name, async () => {
            await rename(join(this.folder, `${name}.new`), join(this.folder, name));
            await this.syncFolder();
            this.durableNames.add(name);
        });
    }

    async truncate(name: string, length: number): Promise<void> {
        await this.wrapErrors(name, async () => {
            const file = await open(join(this.folder, name), "r+");
            try {
                await file.truncate(length);
                await file.sync();
            }
            finally {
                await file.close();
            }
        });
    }

    async sync(name: string): Promise<void> {
        await this.wrapErrors(name, async () => {
            const file = await open(join(this.folder, name), "r");
            try {
                await file.sync();
            }
            finally {
                await file.close();
            }
        });
    }

    private async writeFile(name: string, flags: string, data: Buffer): Promise<void> {
        await this.wrapErrors(name, async () => {
            const file = await open(join(this.folder, name), flags);
            try {
                await file.writeFile(data);
                await file.sync();
            }
            finally {
                await file.close();
            }
        });
    }

    private async syncFolder(): Promise<void> {
        const folder = await open(this.folder, "r");
        try {
            await folder.sync();
        }
        finally {
            await folder.close();
        }
    }

    private async wrapErrors(name: string, action: () => Promise<void>): Promise<void> {
        try {
            await action();
        }
        catch (thrown) {
            throw this.createError(name, toError(thrown));
        }
    }

    private createError(name: string, cause: Error): FleetError {
        return FleetError.create({ step: Step.Storage, peer: join(this.folder, name), cause }, cause.message);
    }
}
