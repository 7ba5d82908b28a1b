import test from "ava";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { ProxyMessage } from "../../tunnel/ProxyMessage.js";
import { ProxyMessageKind } from "../../tunnel/ProxyMessageKind.js";
import { QuotaRelay } from "./index.js";

const CONTROL = { vm: "c-1", failureDomain: "a" };
const ASKS = [{ organisation: "org-1", count: 2 }];
const GRANTS = [{ organisation: "org-1", count: 2, waitMs: 0 }];
const MANY = 5_000;

interface Fixture {
    readonly relay: QuotaRelay;
    readonly sent: [string, Message][];
    readonly replies: ProxyMessage[];
    readonly ask: (id: number, controlVm?: string) => void;
}

function create(isLinked = true, relays: readonly string[] = []): Fixture {
    const sent: [string, Message][] = [];
    const replies: ProxyMessage[] = [];
    const relay = QuotaRelay.create({
        controls: () => isLinked ? [CONTROL] : [],
        relays: () => relays,
        send: (vm, message) => {
            sent.push([vm, message]);
            return isLinked;
        },
    });
    const ask = (id: number, controlVm = "c-1"): void =>
        relay.handleMessage({ kind: ProxyMessageKind.RelayedAsk, controlVm, id, asks: ASKS }, (reply) => replies.push(reply));
    return { relay, sent, replies, ask };
}

function idOf([, message]: [string, Message]): number {
    return message.kind === MessageKind.QuotaRequest ? message.id : 0;
}

test("an ask of another proxy is passed on, and the reply goes back under its number there", (t) => {
    const { relay, sent, replies, ask } = create();
    ask(7);
    t.deepEqual(sent, [["c-1", { kind: MessageKind.QuotaRequest, id: -1, asks: ASKS }]]);
    t.true(relay.handleGrants("c-1", -1, GRANTS));
    t.deepEqual(replies, [{ kind: ProxyMessageKind.RelayedGrant, controlVm: "c-1", id: 7, grants: GRANTS }]);
});

// Guards against tokens that are handed out twice, and against those of this proxy's own asks that go to another proxy.
test("a reply is passed on once, and only that of the control VM that was asked", (t) => {
    const { relay, sent, replies, ask } = create();
    ask(1);
    ask(1);
    const [first = 0, second = 0] = sent.map(idOf);
    t.false(relay.handleGrants("c-1", 1, GRANTS));
    relay.handleGrants("c-2", first, GRANTS);
    t.is(replies.length, 0);
    relay.handleGrants("c-1", first, GRANTS);
    relay.handleGrants("c-1", first, GRANTS);
    t.is(replies.length, 1);
    relay.handleGrants("c-1", second, GRANTS);
    t.is(replies.length, 2);
});

// Guards against asks that travel in circles between proxies without contact.
test("a proxy without a link to the control VM states which ones it reaches instead", (t) => {
    const { sent, replies, ask } = create(false);
    ask(1);
    t.deepEqual(sent, []);
    t.deepEqual(replies, [{ kind: ProxyMessageKind.RelayStatement, controls: [], relays: [] }]);
    const linked = create();
    linked.ask(1, "c-9");
    t.deepEqual(linked.replies, [{ kind: ProxyMessageKind.RelayStatement, controls: [CONTROL], relays: [] }]);
});

// Guards against proxies that are cut off together and point to each other, because their links have not noticed the cut.
test("a proxy states that it reaches control VMs only once one has replied", (t) => {
    const { relay, sent, replies } = create();
    const query = (): void => relay.handleMessage({ kind: ProxyMessageKind.RelayQuery }, (reply) => replies.push(reply));
    query();
    query();
    t.deepEqual(sent, [["c-1", { kind: MessageKind.QuotaRequest, id: -1, asks: [] }]]);
    t.deepEqual(replies, []);
    t.true(relay.handleGrants("c-1", -1, []));
    t.deepEqual(replies, [1, 2].map(() => ({ kind: ProxyMessageKind.RelayStatement, controls: [CONTROL], relays: [] })));
    query();
    t.is(replies.length, 3);
    t.is(sent.length, 1);
});

test("a proxy that is cut off itself names the relays that it has found", (t) => {
    const { relay, replies } = create(true, ["p-1"]);
    relay.handleMessage({ kind: ProxyMessageKind.RelayQuery }, (reply) => replies.push(reply));
    t.deepEqual(replies, [{ kind: ProxyMessageKind.RelayStatement, controls: [], relays: ["p-1"] }]);
});

// Guards against memory that grows while control VMs reply to nothing.
test("asks without a reply are forgotten, the oldest first", (t) => {
    const { relay, sent, replies, ask } = create();
    for (let id = 1; id <= MANY; id += 1) {
        ask(id);
    }
    sent.forEach((message) => relay.handleGrants("c-1", idOf(message), GRANTS));
    t.is(replies.length, 4_096);
});
