import test from "ava";
import fc from "fast-check";
import { assessVoters } from "../assessVoters/index.js";
import { PeerContact } from "../PeerContact.js";
import { VoterAssessment } from "../VoterAssessment.js";
import { VoterChange } from "../VoterChange.js";
import { VoterState } from "../VoterState.js";
import { vmOf } from "../vmOf/index.js";
import { chooseVoterChange } from "./index.js";

const VOTERS = ["a:1", "b:1", "c:1", "d:1", "e:1"];
const TARGET = 5;
const SUPERSEDED_MS = 500;
const LOST_MS = 3_000;

function assess(
    voters: readonly string[],
    states: Readonly<Record<string, VoterState>>,
    spares: readonly string[],
    laggards: readonly string[] = [],
): VoterAssessment {
    return {
        voters: voters.map((identity) => ({ identity, state: states[identity] ?? VoterState.Live })),
        spares: [...spares, ...laggards].map((identity) => ({ identity, hasCaughtUp: !laggards.includes(identity) })),
        toleratedLosses: 0,
    };
}

function choose(...given: Parameters<typeof assess>): VoterChange | undefined {
    return chooseVoterChange(assess(...given), TARGET);
}

test("a single voter adds other control VMs until the target count is reached", (t) => {
    t.deepEqual(choose(["a:1"], {}, ["b:1"]), { identity: "b:1", isAddition: true });
    t.is(choose(VOTERS, {}, ["f:1"]), undefined);
});

test("a VM that returns with an empty disk replaces its former identity", (t) => {
    const states = { "d:1": VoterState.Superseded };
    t.deepEqual(choose(VOTERS, states, ["d:2"]), { identity: "d:1", isAddition: false });
    t.deepEqual(choose(["a:1", "b:1", "c:1", "e:1"], states, ["d:2"]), { identity: "d:2", isAddition: true });
});

test("of two VMs that return with empty disks, the one whose former identity votes no longer is added first", (t) => {
    const states = { "b:1": VoterState.Superseded };
    t.deepEqual(choose(["b:1", "c:1", "d:1", "e:1"], states, ["b:2", "a:2"]), { identity: "a:2", isAddition: true });
    t.deepEqual(choose(["b:1", "c:1", "d:1", "e:1", "a:2"], states, ["b:2"]), { identity: "b:1", isAddition: false });
});

test("a former identity is removed also if the VM votes under its present one", (t) => {
    const states = { "b:1": VoterState.Superseded };
    t.deepEqual(choose(["b:1", "c:1", "d:1", "e:1", "b:2"], states, ["a:2"]), { identity: "b:1", isAddition: false });
});

test("a VM without the entries does not keep another one from becoming a voter", (t) => {
    t.deepEqual(choose(["b:1", "c:1", "d:1", "e:1"], { "b:1": VoterState.Superseded }, ["b:2"], ["a:2"]), { identity: "b:2", isAddition: true });
    t.is(choose(["b:1", "c:1", "d:1", "e:1"], {}, [], ["a:2"]), undefined);
});

test("a former identity stays while its removal would leave fewer voters than a majority needs copies", (t) => {
    t.is(choose(["b:1", "c:1", "d:1", "e:1"], { "b:1": VoterState.Superseded }, []), undefined);
});

test("a lost voter is removed only after another VM has been added as a voter", (t) => {
    const states = { "e:1": VoterState.Lost };
    t.deepEqual(choose(VOTERS, states, ["f:1"]), { identity: "f:1", isAddition: true });
    t.deepEqual(choose([...VOTERS, "f:1"], states, []), { identity: "e:1", isAddition: false });
});

test("a lost or silent voter stays while no other VM can replace it, and a silent one also then", (t) => {
    t.is(choose(VOTERS, { "a:1": VoterState.Lost }, []), undefined);
    t.is(choose(VOTERS, { "a:1": VoterState.Silent }, ["f:1"]), undefined);
});

/** Former and present identity of a VM, and whether the present one replies. */
interface Vm {
    readonly hasFormer: boolean;
    readonly isPresent: boolean;
    readonly votes: "former" | "present" | "both" | "none";
}

function contactsOf(vms: readonly Vm[]): readonly PeerContact[] {
    return vms.flatMap(({ hasFormer, isPresent }, index) => {
        const former = { identity: `vm-${index}:1`, silentMs: isPresent ? SUPERSEDED_MS : LOST_MS, hasReplied: true, hasCaughtUp: false };
        const present = { identity: `vm-${index}:2`, silentMs: isPresent ? 0 : LOST_MS, hasReplied: isPresent, hasCaughtUp: isPresent };
        return hasFormer ? [former, present] : [present];
    });
}

function votersOf(vms: readonly Vm[]): readonly string[] {
    return vms.flatMap(({ hasFormer, votes }, index) => {
        const former = hasFormer && (votes === "former" || votes === "both") ? [`vm-${index}:1`] : [];
        return votes === "present" || votes === "both" || (votes === "former" && !hasFormer) ? [...former, `vm-${index}:2`] : former;
    });
}

test("from any voters with a majority, each change keeps the losses that they bear, and in the end each VM that replies votes once", (t) => {
    const vm = fc.record({
        hasFormer: fc.boolean(),
        isPresent: fc.boolean(),
        votes: fc.constantFrom<Vm["votes"]>("former", "present", "both", "none"),
    });
    fc.assert(fc.property(fc.array(vm, { minLength: 1, maxLength: 7 }), fc.constantFrom(3, 5), (vms, target) => {
        const contacts = contactsOf(vms);
        let voters = votersOf(vms);
        const liveCount = assessVoters(voters, contacts).voters.filter(({ state }) => state === VoterState.Live).length;
        fc.pre(liveCount * 2 > voters.length && voters.length <= target + 1);
        for (let change = next(voters, contacts, target), count = 0; change !== undefined; change = next(voters, contacts, target), count += 1) {
            const before = assessVoters(voters, contacts).toleratedLosses;
            const { identity, isAddition } = change;
            voters = isAddition ? [...voters, identity] : voters.filter((voter) => voter !== identity);
            t.true(assessVoters(voters, contacts).toleratedLosses >= before, `${identity} ${isAddition}: ${voters.join(" ")}`);
            t.true(count < 2 * target, "the changes end");
        }
        const replying = vms.filter(({ isPresent }) => isPresent).length;
        const live = voters.filter((voter) => contacts.some(({ identity, silentMs }) => identity === voter && silentMs === 0));
        const former = voters.filter((voter) => !live.includes(voter) && live.some((other) => vmOf(other) === vmOf(voter)));
        t.true(voters.length < target || former.length === 0, `a VM that replies votes twice: ${voters.join(" ")}`);
        t.true(live.length >= Math.min(replying, target), `a VM was left out: ${voters.join(" ")}`);
    }), { seed: 20_261_207, numRuns: 2_000 });
});

function next(voters: readonly string[], contacts: readonly PeerContact[], target: number): VoterChange | undefined {
    return chooseVoterChange(assessVoters(voters, contacts), target);
}
