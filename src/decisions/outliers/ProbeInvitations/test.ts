import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { ProbeDemand } from "../ProbeDemand.js";
import { ProbeInvitations } from "./index.js";

function create(entries: readonly number[]): ProbeInvitations<number> {
    const invitations = ProbeInvitations.create<number>();
    entries.forEach((entry) => invitations.addEntry(entry));
    return invitations;
}

test("entries are invited in turn, twice as many in each round until the endpoint has had a request", (t) => {
    const invitations = create(Array.from({ length: 12 }, (_, number) => number));
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 0), [0, 1, 2, 3]);
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 200), [4, 5, 6, 7, 8, 9, 10, 11]);
    t.is(invitations.startRound(ProbeDemand.Any, 400).length, 12);
    t.is(invitations.end().length, 12);
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 600), [0, 1, 2, 3]);
});

test("invitations are withdrawn once, from those who have them", (t) => {
    const invitations = create([1, 2]);
    invitations.startRound(ProbeDemand.Any, 0);
    t.deepEqual(invitations.end(), [1, 2]);
    t.deepEqual(invitations.end(), []);
});

test("entries that send repeatable requests are invited for these, and all entries while none does or any request is accepted", (t) => {
    const invitations = create([1, 2, 3]);
    t.deepEqual(invitations.startRound(ProbeDemand.Repeatable, 0), [1, 2, 3]);
    invitations.recordRequest(1, RequestKind.Once, 100);
    invitations.recordRequest(3, RequestKind.Repeatable, 100);
    invitations.recordRequest(9, RequestKind.Repeatable, 100);
    t.deepEqual(invitations.startRound(ProbeDemand.Repeatable, 200), [3]);
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 200), [1, 2, 3]);
    t.deepEqual(invitations.startRound(ProbeDemand.Repeatable, 20_000), [1, 2, 3]);
});

// Guards against invitations between failure domains: they took more bytes than the loads of all gates.
test("entries in the failure domain of the gate are invited first, and the others in later rounds if no request comes", (t) => {
    const invitations = ProbeInvitations.create<number>();
    Array.from({ length: 12 }, (_, number) => invitations.addEntry(number, number % 2 === 1));
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 0), [1, 3, 5, 7]);
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 200), [9, 11, 1, 3, 5, 7, 0, 2]);
    t.is(invitations.startRound(ProbeDemand.Any, 400).length, 12);
    invitations.end();
    invitations.recordRequest(4, RequestKind.Repeatable, 500);
    t.deepEqual(invitations.startRound(ProbeDemand.Repeatable, 600), [4]);
    invitations.removeEntry(4);
    invitations.addEntry(4);
    t.true(invitations.startRound(ProbeDemand.Any, 800).includes(4));
});

test("an entry whose connection is closed is not invited", (t) => {
    const invitations = create([1, 2]);
    invitations.removeEntry(1);
    t.deepEqual(invitations.startRound(ProbeDemand.Any, 0), [2]);
});

test("an endpoint of a service without requests invites few entries, and rarely", (t) => {
    const invitations = create(Array.from({ length: 40 }, (_, number) => number));
    const sizes = Array.from({ length: 110 }, (_, round) => invitations.startRound(ProbeDemand.Any, round * 200).length);
    const invitedLater = sizes.slice(10).reduce((sum, size) => sum + size, 0);
    t.is(invitedLater, 80);
    invitations.end();
    t.is(invitations.startRound(ProbeDemand.Any, 30_000).length, 4);
});
