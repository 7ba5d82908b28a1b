import test from "ava";
import { EntryKind } from "../EntryKind.js";
import { emptySnapshot } from "../emptySnapshot.js";
import { HardState } from "../HardState.js";
import { LogEntry } from "../LogEntry.js";
import { QuorumEvent } from "../QuorumEvent.js";
import { QuorumEventKind } from "../QuorumEventKind.js";
import { QuorumMessage } from "../QuorumMessage.js";
import { QuorumMessageKind } from "../QuorumMessageKind.js";
import { QuorumState } from "../QuorumState.js";
import { QuorumNoticeKind } from "../QuorumNoticeKind.js";
import { VoteRefusal } from "../VoteRefusal.js";
import { QuorumMachine } from "./index.js";

const VOTERS = ["a", "b", "c"];
const NO_LEADER_MS = 10_000;

function barrier(index: number, term: number): LogEntry {
    return { index, term, kind: EntryKind.Barrier };
}

function create(hardState: HardState, entries: readonly LogEntry[]): QuorumMachine {
    const snapshot = {
        lastIndex: 0,
        lastTerm: 0,
        voters: VOTERS,
        parts: [],
        items: [],
        retained: [],
        position: { term: 0, version: 0, manifestVersion: 0 },
    };
    return QuorumMachine.create("a", { hardState, snapshot, entries }, () => 0, 0);
}

/** Lets a machine run without events but ticks, and returns what it sent. */
function runUntil(machine: QuorumMachine, fromMs: number, toMs: number): readonly QuorumMessage[] {
    const messages: QuorumMessage[] = [];
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += 50) {
        messages.push(...machine.step({ kind: QuorumEventKind.Tick }, nowMs).messages.map(({ message }) => message));
    }
    return messages;
}

function vote(kind: QuorumMessageKind.Vote | QuorumMessageKind.PreVote, term: number, lastIndex: number, lastTerm: number): QuorumMessage {
    return { kind, term, lastIndex, lastTerm };
}

interface Case {
    readonly title: string;
    readonly hardState: HardState;
    readonly entries?: readonly LogEntry[];
    readonly message: QuorumMessage;
    readonly granted: boolean;
}

const cases: readonly Case[] = [
    {
        title: "a voter grants its vote to a candidate whose log equals its own",
        hardState: { term: 1, votedFor: undefined },
        entries: [barrier(1, 1)],
        message: vote(QuorumMessageKind.Vote, 2, 1, 1),
        granted: true,
    },
    {
        title: "a voter that restarts after voting does not vote for another candidate in the same term",
        hardState: { term: 2, votedFor: "c" },
        message: vote(QuorumMessageKind.Vote, 2, 5, 2),
        granted: false,
    },
    {
        title: "a voter that restarts after voting votes for the same candidate again",
        hardState: { term: 2, votedFor: "b" },
        message: vote(QuorumMessageKind.Vote, 2, 5, 2),
        granted: true,
    },
    {
        title: "a candidate whose last entry has an older term gets no vote, even if its log is longer",
        hardState: { term: 2, votedFor: undefined },
        entries: [barrier(1, 1), barrier(2, 2)],
        message: vote(QuorumMessageKind.Vote, 3, 9, 1),
        granted: false,
    },
    {
        title: "a candidate with a shorter log of the same term gets no vote",
        hardState: { term: 2, votedFor: undefined },
        entries: [barrier(1, 2), barrier(2, 2)],
        message: vote(QuorumMessageKind.Vote, 3, 1, 2),
        granted: false,
    },
    {
        title: "a candidate with an old term gets no vote",
        hardState: { term: 5, votedFor: undefined },
        message: vote(QuorumMessageKind.Vote, 4, 9, 4),
        granted: false,
    },
    {
        title: "a pre-vote for a term that has already started is not granted",
        hardState: { term: 5, votedFor: undefined },
        message: vote(QuorumMessageKind.PreVote, 5, 9, 4),
        granted: false,
    },
];

for (const { title, hardState, entries = [], message, granted } of cases) {
    test(title, (t) => {
        const machine = create(hardState, entries);
        const output = machine.step({ kind: QuorumEventKind.Message, from: "b", message }, NO_LEADER_MS);
        const reply = [...output.messages, ...output.durableMessages][0]?.message;
        t.true(reply !== undefined && "granted" in reply);
        t.is(reply !== undefined && "granted" in reply && reply.granted, granted);
    });
}

test("a granted vote is part of the state to persist before the reply is sent", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const output = machine.step({ kind: QuorumEventKind.Message, from: "b", message: vote(QuorumMessageKind.Vote, 2, 0, 0) }, NO_LEADER_MS);
    t.deepEqual(output.hardState, { term: 2, votedFor: "b" });
    t.deepEqual(output.messages, []);
    t.deepEqual(output.durableMessages.map(({ message }) => message.kind), [QuorumMessageKind.VoteReply]);
});

test("a pre-vote changes neither term nor vote", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const output = machine.step({ kind: QuorumEventKind.Message, from: "b", message: vote(QuorumMessageKind.PreVote, 9, 0, 0) }, NO_LEADER_MS);
    t.is(output.hardState, undefined);
    t.is(machine.term, 1);
});

test("a voter in contact with its leader grants no pre-vote", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const append: QuorumMessage = { kind: QuorumMessageKind.Append, term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
    machine.step({ kind: QuorumEventKind.Message, from: "c", message: append }, NO_LEADER_MS);
    const output = machine.step(
        { kind: QuorumEventKind.Message, from: "b", message: vote(QuorumMessageKind.PreVote, 2, 9, 1) },
        NO_LEADER_MS + 999,
    );
    const reply = output.messages[0]?.message;
    t.is(reply !== undefined && "granted" in reply && reply.granted, false);
});

test("a voter starts a pre-vote within 500 ms of a restart, but waits longer once it has had contact with a leader", (t) => {
    const preVoteDelayMs = (machine: QuorumMachine, fromMs: number): number => {
        for (let atMs = fromMs; atMs < fromMs + 5_000; atMs += 10) {
            const { messages } = machine.step({ kind: QuorumEventKind.Tick }, atMs);
            if (messages.some(({ message }) => message.kind === QuorumMessageKind.PreVote)) {
                return atMs - fromMs;
            }
        }
        return Number.POSITIVE_INFINITY;
    };
    const machine = create({ term: 1, votedFor: undefined }, []);
    t.true(preVoteDelayMs(machine, 0) <= 500);
    t.true(preVoteDelayMs(machine, 500) <= 500, "it repeats the pre-vote within 500 ms if the other voters were not up yet");
    const append: QuorumMessage = { kind: QuorumMessageKind.Append, term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
    machine.step({ kind: QuorumEventKind.Message, from: "c", message: append }, 1_000);
    t.true(preVoteDelayMs(machine, 1_000) >= 1_000);
});

test("bootstrap makes a VM with an empty log the leader and is ignored by a VM that has a log", (t) => {
    const empty = QuorumMachine.create("a", {
        hardState: { term: 0, votedFor: undefined },
        entries: [],
        snapshot: {
            lastIndex: 0,
            lastTerm: 0,
            voters: [],
            parts: [],
            items: [],
            retained: [],
            position: { term: 0, version: 0, manifestVersion: 0 },
        },
    }, () => 0, 0);
    const { writeNumber = 0 } = empty.step({ kind: QuorumEventKind.Bootstrap }, 0);
    t.false(empty.isReady, "not before the log is on disk");
    empty.step({ kind: QuorumEventKind.Persisted, writeNumber }, 0);
    t.true(empty.isReady);
    const used = create({ term: 3, votedFor: undefined }, [barrier(1, 3)]);
    used.step({ kind: QuorumEventKind.Bootstrap }, 0);
    t.false(used.isLeader);
});

test("a lost round names the voters whose votes are missing", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    runUntil(machine, 0, 200);
    const notices = [250, 300, 350, 400].flatMap((atMs) => machine.step({ kind: QuorumEventKind.Tick }, atMs).notices);
    t.deepEqual(notices.find(({ kind }) => kind === QuorumNoticeKind.RoundLost), {
        kind: QuorumNoticeKind.RoundLost,
        term: 2,
        isPreVote: true,
        granted: ["a"],
        missing: ["b", "c"],
    });
});

test("a refused vote names the candidate and the reason", (t) => {
    const machine = create({ term: 5, votedFor: "c" }, [barrier(1, 5)]);
    const refusalOf = (message: QuorumMessage): VoteRefusal | undefined => {
        const [notice] = machine.step({ kind: QuorumEventKind.Message, from: "b", message }, NO_LEADER_MS).notices;
        return notice?.kind === QuorumNoticeKind.VoteRefused && notice.candidate === "b" ? notice.reason : undefined;
    };
    t.is(refusalOf(vote(QuorumMessageKind.PreVote, 5, 1, 5)), VoteRefusal.OldTerm);
    t.is(refusalOf(vote(QuorumMessageKind.Vote, 5, 1, 5)), VoteRefusal.VotedForOther);
    t.is(refusalOf(vote(QuorumMessageKind.PreVote, 6, 9, 4)), VoteRefusal.OutdatedLog);
    t.is(refusalOf(vote(QuorumMessageKind.PreVote, 6, 1, 5)), undefined);
});

function voteReply(from: string, kind: QuorumMessageKind.PreVoteReply | QuorumMessageKind.VoteReply, term: number, granted = true): QuorumEvent {
    return { kind: QuorumEventKind.Message, from, message: { kind, term, granted } };
}

/** Makes machine `a` a candidate of term 2 whose own vote is stored. */
function createCandidate(): { readonly machine: QuorumMachine; readonly atMs: number } {
    const machine = create({ term: 1, votedFor: undefined }, []);
    runUntil(machine, 0, 200);
    const { writeNumber = 0 } = machine.step(voteReply("b", QuorumMessageKind.PreVoteReply, 2), 200);
    machine.step({ kind: QuorumEventKind.Persisted, writeNumber }, 200);
    return { machine, atMs: 200 };
}

test("a vote that arrives after the next pre-vote has begun still elects the candidate of its term", (t) => {
    const { machine, atMs } = createCandidate();
    const preVotes = runUntil(machine, atMs, atMs + 1_000);
    t.deepEqual(preVotes.map(({ kind, term }) => [kind, term]), VOTERS.slice(1).map(() => [QuorumMessageKind.PreVote, 3]));
    machine.step(voteReply("b", QuorumMessageKind.VoteReply, 2), atMs + 1_100);
    t.true(machine.isLeader);
    t.is(machine.term, 2);
});

test("a vote of an earlier term does not elect a candidate", (t) => {
    const { machine, atMs } = createCandidate();
    runUntil(machine, atMs, atMs + 1_000);
    machine.step(voteReply("b", QuorumMessageKind.PreVoteReply, 3), atMs + 1_000);
    machine.step(voteReply("b", QuorumMessageKind.VoteReply, 2), atMs + 1_100);
    t.false(machine.isLeader);
});

test("a vote that was requested before a restart does not elect a voter", (t) => {
    const machine = create({ term: 2, votedFor: "a" }, []);
    machine.step(voteReply("b", QuorumMessageKind.VoteReply, 2), 10);
    runUntil(machine, 0, 200);
    machine.step(voteReply("b", QuorumMessageKind.VoteReply, 2), 210);
    t.false(machine.isLeader);
});

test("a candidate does not win while its own vote is not stored", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    runUntil(machine, 0, 200);
    const election = machine.step(voteReply("b", QuorumMessageKind.PreVoteReply, 2), 200);
    t.deepEqual(election.messages, []);
    t.is(election.durableMessages.length, 2);
    machine.step(voteReply("b", QuorumMessageKind.VoteReply, 2), 210);
    t.false(machine.isLeader);
    machine.step({ kind: QuorumEventKind.Persisted, writeNumber: election.writeNumber ?? 0 }, 220);
    t.true(machine.isLeader);
});

test("a candidate gives each further election more time, until it hears of a leader", (t) => {
    const { machine } = createCandidate();
    let nowMs = 200;
    const electionLengthMs = (term: number): number => {
        const startMs = nowMs;
        let isPreVote = false;
        while (!isPreVote) {
            nowMs += 50;
            isPreVote = machine.step({ kind: QuorumEventKind.Tick }, nowMs).messages.length > 0;
        }
        const lengthMs = nowMs - startMs;
        const { writeNumber = 0 } = machine.step(voteReply("b", QuorumMessageKind.PreVoteReply, term + 1), nowMs);
        machine.step({ kind: QuorumEventKind.Persisted, writeNumber }, nowMs);
        return lengthMs;
    };
    t.deepEqual([2, 3, 4, 5].map(electionLengthMs), [1_000, 2_000, 4_000, 4_000]);
});

test("the time of a disk is not counted as silence of the voters", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    runUntil(machine, 0, 200);
    const election = machine.step(voteReply("b", QuorumMessageKind.PreVoteReply, 2), 200);
    for (let nowMs = 250; nowMs <= 5_000; nowMs += 50) {
        t.deepEqual(machine.step({ kind: QuorumEventKind.Tick }, nowMs).messages, []);
    }
    machine.step({ kind: QuorumEventKind.Persisted, writeNumber: election.writeNumber ?? 0 }, 5_000);
    t.deepEqual(runUntil(machine, 5_050, 5_950), []);
    t.not(runUntil(machine, 6_000, 6_050).length, 0);
});

test("a voter that has just voted refuses the pre-vote of another candidate, but not that of its own or after a second", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const granted = (from: string, nowMs: number): boolean => {
        const event: QuorumEvent = { kind: QuorumEventKind.Message, from, message: vote(QuorumMessageKind.PreVote, 3, 0, 0) };
        const reply = machine.step(event, nowMs).messages[0]?.message;
        return reply !== undefined && "granted" in reply && reply.granted;
    };
    const { writeNumber = 0 } = machine.step({ kind: QuorumEventKind.Message, from: "b", message: vote(QuorumMessageKind.Vote, 2, 0, 0) }, 100);
    t.false(granted("c", 150));
    machine.step({ kind: QuorumEventKind.Persisted, writeNumber }, 200);
    runUntil(machine, 250, 1_100);
    t.false(granted("c", 1_150));
    t.true(granted("b", 1_150));
    t.true(granted("c", 1_250));
});

test("a follower acknowledges entries only once they are stored, and answers heartbeats meanwhile", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const append = (previousIndex: number, previousTerm: number, entries: readonly LogEntry[]): QuorumEvent => ({
        kind: QuorumEventKind.Message,
        from: "b",
        message: { kind: QuorumMessageKind.Append, term: 1, previousIndex, previousTerm, entries, commitIndex: 0 },
    });
    const output = machine.step(append(0, 0, [barrier(1, 1)]), 10);
    t.deepEqual(output.messages, []);
    t.deepEqual(output.durableMessages.map(({ message }) => message.kind === QuorumMessageKind.AppendReply && message.matchIndex), [1]);
    const heartbeat = machine.step(append(1, 1, []), 20);
    t.deepEqual(heartbeat.messages.map(({ message }) => message.kind === QuorumMessageKind.AppendReply && message.matchIndex), [0]);
    machine.step({ kind: QuorumEventKind.Persisted, writeNumber: output.writeNumber ?? 0 }, 30);
    const later = machine.step(append(1, 1, []), 40);
    t.deepEqual(later.messages.map(({ message }) => message.kind === QuorumMessageKind.AppendReply && message.matchIndex), [1]);
});

/** Makes machine `a` a ready leader of term 2 with `b` and `c` as followers. */
function createLeader(): QuorumMachine {
    const { machine, atMs } = createCandidate();
    const { writeNumber = 0 } = machine.step(voteReply("b", QuorumMessageKind.VoteReply, 2), atMs);
    machine.step({ kind: QuorumEventKind.Persisted, writeNumber }, atMs);
    machine.step(appendReply("b", 0), atMs);
    return machine;
}

function appendReply(from: string, round: number | undefined): QuorumEvent {
    const message: QuorumMessage = { kind: QuorumMessageKind.AppendReply, term: 2, accepted: true, matchIndex: 1, round };
    return { kind: QuorumEventKind.Message, from, message };
}

test("a read is confirmed by a reply to a heartbeat that was sent after it, and writes nothing", (t) => {
    const machine = createLeader();
    t.true(machine.isReady);
    const read = machine.step({ kind: QuorumEventKind.Read, id: 7 }, 300);
    t.deepEqual([read.writeNumber, read.confirmedReads], [undefined, []]);
    t.deepEqual(read.messages.map(({ message }) => message.kind === QuorumMessageKind.Append && message.round), [1, 1]);
    t.deepEqual(machine.step(appendReply("b", 0), 310).confirmedReads, []);
    t.deepEqual(machine.step(appendReply("b", 1), 320).confirmedReads, [7]);
});

test("reads that arrive during a round share the next one", (t) => {
    const machine = createLeader();
    machine.step({ kind: QuorumEventKind.Read, id: 1 }, 300);
    t.deepEqual(machine.step({ kind: QuorumEventKind.Read, id: 2 }, 301).messages, []);
    machine.step({ kind: QuorumEventKind.Read, id: 3 }, 302);
    const first = machine.step(appendReply("c", 1), 310);
    t.deepEqual(first.confirmedReads, [1]);
    t.deepEqual(first.messages.map(({ message }) => message.kind === QuorumMessageKind.Append && message.round), [2, 2]);
    t.deepEqual(machine.step(appendReply("b", 2), 320).confirmedReads, [2, 3]);
});

test("a leader whose followers reply without rounds cannot confirm reads by them", (t) => {
    const machine = createLeader();
    t.true(machine.canConfirmReads);
    machine.step(appendReply("b", undefined), 300);
    t.true(machine.canConfirmReads, "a majority still can");
    machine.step(appendReply("c", undefined), 300);
    t.false(machine.canConfirmReads);
});

test("a founder that was killed between its first vote and its first entry founds the log again", (t) => {
    const stateOf = (hardState: HardState): QuorumState => ({ hardState, entries: [], snapshot: emptySnapshot });
    const killed = QuorumMachine.create("a", stateOf({ term: 1, votedFor: "a" }), () => 0, 0);
    const { writeNumber = 0 } = killed.step({ kind: QuorumEventKind.Bootstrap }, 0);
    killed.step({ kind: QuorumEventKind.Persisted, writeNumber }, 0);
    t.true(killed.isReady);
    const joining = QuorumMachine.create("a", stateOf({ term: 1, votedFor: undefined }), () => 0, 0);
    joining.step({ kind: QuorumEventKind.Bootstrap }, 0);
    t.false(joining.isLeader, "a VM that has heard of a leader's term founds no second log");
});

test("a leader that was suspended does not step down before it has read the replies that arrived meanwhile", (t) => {
    const machine = createLeader();
    machine.step({ kind: QuorumEventKind.Tick }, 5_000);
    t.true(machine.isLeader);
    machine.step(appendReply("b", 0), 5_001);
    runUntil(machine, 5_050, 5_950);
    t.true(machine.isLeader);
    runUntil(machine, 6_000, 6_100);
    t.false(machine.isLeader, "no majority has replied for 1 s in which it ran");
});

test("a follower that was suspended does not stand for election before it has read the heartbeats that arrived meanwhile", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const heartbeat: QuorumMessage = { kind: QuorumMessageKind.Append, term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
    machine.step({ kind: QuorumEventKind.Message, from: "b", message: heartbeat }, 10);
    t.deepEqual(machine.step({ kind: QuorumEventKind.Tick }, 9_000).messages, []);
    machine.step({ kind: QuorumEventKind.Message, from: "b", message: heartbeat }, 9_001);
    t.deepEqual(runUntil(machine, 9_050, 9_950), []);
    t.is(machine.knownLeader, "b");
});

test("a voter stands for election although a VM that no reply reaches keeps asking for pre-votes", (t) => {
    const machine = create({ term: 1, votedFor: undefined }, []);
    const sent: QuorumMessage[] = [];
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 50) {
        const event: QuorumEvent = { kind: QuorumEventKind.Message, from: "b", message: vote(QuorumMessageKind.PreVote, 2, 0, 0) };
        const outputs = [machine.step(event, nowMs), machine.step({ kind: QuorumEventKind.Tick }, nowMs)];
        sent.push(...outputs.flatMap(({ messages }) => messages.map(({ message }) => message)));
    }
    t.true(sent.some(({ kind }) => kind === QuorumMessageKind.PreVote));
});

test("a VM without a vote forgets a leader that is silent for as long as voters wait before they stand for election", (t) => {
    const machine = QuorumMachine.create("spare", { hardState: { term: 1, votedFor: undefined }, snapshot: emptySnapshot, entries: [] }, () => 0.9, 0);
    const heartbeat: QuorumMessage = { kind: QuorumMessageKind.Append, term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
    machine.step({ kind: QuorumEventKind.Message, from: "b", message: heartbeat }, 10);
    runUntil(machine, 50, 1_000);
    t.is(machine.knownLeader, "b");
    t.deepEqual(runUntil(machine, 1_050, 2_100), []);
    t.is(machine.knownLeader, undefined);
    machine.step({ kind: QuorumEventKind.Message, from: "c", message: { ...heartbeat, term: 2 } }, 2_200);
    t.is(machine.knownLeader, "c");
});
