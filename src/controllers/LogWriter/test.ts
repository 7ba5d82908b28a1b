import test from "ava";
import { emptySnapshot } from "../../decisions/quorum/emptySnapshot.js";
import { QuorumOutput } from "../../decisions/quorum/QuorumOutput.js";
import { Disk } from "../../storage/Disk.js";
import { QuorumStore } from "../QuorumStore/index.js";
import { LogWriter } from "./index.js";

/** Disk whose writes end one by one, when the test says so. */
class SteppedDisk implements Disk {
    readonly started: string[] = [];
    private readonly pending: { readonly resolve: () => void; readonly reject: (error: Error) => void }[] = [];

    read(): Promise<undefined> {
        return Promise.resolve(undefined);
    }

    append(name: string): Promise<void> {
        return this.write(`append ${name}`);
    }

    replace(name: string): Promise<void> {
        return this.write(`replace ${name}`);
    }

    truncate(name: string): Promise<void> {
        return this.write(`truncate ${name}`);
    }

    sync(name: string): Promise<void> {
        return this.write(`sync ${name}`);
    }

    async endWrite(error?: Error): Promise<void> {
        const next = this.pending.shift();
        if (error === undefined) {
            next?.resolve();
        }
        else {
            next?.reject(error);
        }
        await new Promise((resolve) => setImmediate(resolve));
    }

    private write(description: string): Promise<void> {
        this.started.push(description);
        return new Promise((resolve, reject) => this.pending.push({ resolve, reject }));
    }
}

const NOTHING: QuorumOutput = {
    writeNumber: undefined,
    hardState: undefined,
    snapshot: undefined,
    entries: [],
    remaining: [],
    messages: [],
    durableMessages: [],
    committed: [],
    receivedSnapshot: undefined,
    confirmedReads: [],
    notices: [],
};

function vote(term: number): QuorumOutput {
    return { ...NOTHING, writeNumber: term, hardState: { term, votedFor: "a" } };
}

async function create(): Promise<{ disk: SteppedDisk; writer: LogWriter; written: (readonly QuorumOutput[])[]; errors: string[] }> {
    const disk = new SteppedDisk();
    const opening = QuorumStore.create(disk, "control-1");
    await new Promise((resolve) => setImmediate(resolve));
    await disk.endWrite();
    const store = await opening;
    disk.started.length = 0;
    const written: (readonly QuorumOutput[])[] = [];
    const errors: string[] = [];
    const writer = LogWriter.create(store, {
        handleWritten: (outputs) => written.push(outputs),
        handleDuration: () => undefined,
        handleFailure: (error) => errors.push(error.message),
    });
    return { disk, writer, written, errors };
}

test("outputs that wait for a write are written and reported together, in order", async (t) => {
    const { disk, writer, written } = await create();
    const outputs = [vote(1), vote(2), { ...NOTHING }, vote(3)];
    outputs.forEach((output) => writer.write(output));
    t.is(writer.waitingCount, 3);
    t.deepEqual(written, []);
    await disk.endWrite();
    t.deepEqual(written, [outputs.slice(0, 1)]);
    await disk.endWrite();
    t.deepEqual(written, [outputs.slice(0, 1), outputs.slice(1)]);
    t.deepEqual(disk.started, ["replace hard-state", "replace hard-state"]);
    t.false(writer.isWriting);
});

test("an output without state is reported at once, but not before an earlier one is on disk", async (t) => {
    const { disk, writer, written } = await create();
    const message = { ...NOTHING };
    writer.write(message);
    t.deepEqual(written, [[message]]);
    writer.write(vote(1));
    writer.write(message);
    t.is(written.length, 1);
    await disk.endWrite();
    t.is(written.length, 3);
});

test("an output with a snapshot ends its batch, so that entries after it are not lost with the log that it replaces", async (t) => {
    const { disk, writer, written } = await create();
    writer.write(vote(1));
    writer.write({ ...NOTHING, writeNumber: 2, snapshot: emptySnapshot });
    writer.write(vote(3));
    await disk.endWrite();
    await disk.endWrite();
    await disk.endWrite();
    t.deepEqual(written.map((batch) => batch.map(({ writeNumber }) => writeNumber)), [[1], [2]]);
    t.deepEqual(disk.started, ["replace hard-state", "replace snapshot", "replace log", "replace hard-state"]);
});

test("after a failed write nothing is written or reported", async (t) => {
    const { disk, writer, written, errors } = await create();
    writer.write(vote(1));
    writer.write(vote(2));
    await disk.endWrite(new Error("no space left on device"));
    writer.write({ ...NOTHING });
    t.deepEqual([written, errors, disk.started.length], [[], ["no space left on device"], 1]);
});

test("a closed writer reports nothing, and waits for the write in progress", async (t) => {
    const { disk, writer, written } = await create();
    writer.write(vote(1));
    let isClosed = false;
    const closing = writer.close().then(() => isClosed = true);
    await new Promise((resolve) => setImmediate(resolve));
    t.false(isClosed);
    await disk.endWrite();
    await closing;
    t.deepEqual(written, []);
});
