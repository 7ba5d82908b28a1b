import { randomUUID, timingSafeEqual } from "node:crypto";
import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { Envelope } from "../Envelope.js";
import { LinkPort } from "../LinkPort.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";
import { PeerIdentity } from "../PeerIdentity.js";
import { proveKey } from "../proveKey/index.js";
import { WsLinkOptions } from "../WsLinkOptions.js";

const MAX_BUFFERED_BYTES = 64 * 1_024 * 1_024;
const packr = new Packr({ useRecords: true });
const unpackr = new Unpackr({ useRecords: true });

interface PendingCall {
    readonly resolve: (message: Message | undefined) => void;
    readonly timer: NodeJS.Timeout;
}

/** A link over one WebSocket: authenticates both ends, then carries messages, calls and replies. */
export class WsLink implements LinkPort {
    private readonly nonce = randomUUID();
    private readonly calls = new Map<number, PendingCall>();
    private identity: PeerIdentity | undefined;
    private nextCall = 1;
    private isOpen = false;

    private constructor(private readonly socket: WebSocket, private readonly options: WsLinkOptions) {}

    /**
     * Creates a link over a socket. The end that accepted the socket sends the challenge.
     *
     * @param socket - Socket, open or opening.
     * @param options - Own identity, fleet key and callbacks.
     */
    static create(socket: WebSocket, options: WsLinkOptions): WsLink {
        const link = new WsLink(socket, options);
        socket.on("message", (data: Buffer) => link.receive(data));
        socket.on("close", () => link.finish());
        socket.on("error", (thrown) => options.onError(FleetError.create({ step: Step.Link, peer: link.peerName, cause: thrown }, thrown.message)));
        if (options.accepted) {
            link.send({ kind: MessageKind.Challenge, nonce: link.nonce });
        }
        return link;
    }

    /** Identity of the other end; throws before the link is open. */
    get peer(): PeerIdentity {
        if (this.identity === undefined) {
            throw FleetError.create({ step: Step.Link, peer: this.peerName }, "the link is not open");
        }
        return this.identity;
    }

    /** Sends a message; dropped if the socket is not open or its buffer is full. */
    send(message: Message): void {
        this.transmit({ message });
    }

    /**
     * Sends a message and waits for its reply.
     *
     * @param message - The call.
     * @param timeoutMs - Time to wait.
     * @returns The reply, or undefined if none came in time.
     */
    call(message: Message, timeoutMs: number): Promise<Message | undefined> {
        const call = this.nextCall;
        this.nextCall += 1;
        return new Promise((resolve) => {
            const timer = setTimeout(() => this.settleCall(call, undefined), timeoutMs);
            this.calls.set(call, { resolve, timer });
            this.transmit({ message, call });
        });
    }

    /** Closes the link at once. */
    close(): void {
        this.socket.terminate();
    }

    private get peerName(): string {
        return this.identity?.vm ?? this.options.address;
    }

    private transmit(envelope: Envelope): void {
        if (this.socket.readyState === WebSocket.OPEN && this.socket.bufferedAmount < MAX_BUFFERED_BYTES) {
            const data = packr.pack(envelope);
            this.options.bytes.sent += data.length;
            this.socket.send(data);
        }
    }

    private receive(data: Buffer): void {
        this.options.bytes.received += data.length;
        try {
            this.accept(unpackr.unpack(data) as Envelope);
        }
        catch (thrown) {
            const cause = toError(thrown);
            this.options.onError(FleetError.create({ step: Step.Link, peer: this.peerName, cause }, `bad frame: ${cause.message}`));
            this.close();
        }
    }

    private accept(envelope: Envelope): void {
        if (!this.isOpen) {
            this.shakeHands(envelope.message);
        }
        else if (envelope.reply !== undefined) {
            this.settleCall(envelope.reply, envelope.message);
        }
        else if (envelope.call !== undefined) {
            void this.reply(envelope.call, envelope.message);
        }
        else {
            this.options.onMessage(this, envelope.message);
        }
    }

    private async reply(call: number, question: Message): Promise<void> {
        const message = await this.options.onCall(this, question);
        if (message !== undefined) {
            this.transmit({ message, reply: call });
        }
    }

    private shakeHands(message: Message): void {
        const { identity, fleetKey } = this.options;
        switch (message.kind) {
            case MessageKind.Challenge:
                this.send({ kind: MessageKind.Hello, identity, nonce: this.nonce, proof: proveKey(fleetKey, message.nonce, identity.vm) });
                return;
            case MessageKind.Hello:
                this.checkProof(message.proof, message.identity);
                this.send({ kind: MessageKind.Welcome, identity, proof: proveKey(fleetKey, message.nonce, identity.vm) });
                this.open(message.identity);
                return;
            case MessageKind.Welcome:
                this.checkProof(message.proof, message.identity);
                this.open(message.identity);
                return;
            default:
                throw FleetError.create({ step: Step.Handshake, peer: this.peerName }, `unexpected message "${message.kind}"`);
        }
    }

    private checkProof(proof: string, identity: PeerIdentity): void {
        const expected = Buffer.from(proveKey(this.options.fleetKey, this.nonce, identity.vm));
        const given = Buffer.from(proof);
        if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
            throw FleetError.create({ step: Step.Handshake, peer: identity.vm }, "the peer does not know the fleet key");
        }
    }

    private open(identity: PeerIdentity): void {
        this.identity = identity;
        this.isOpen = true;
        this.options.onOpen(this);
    }

    private settleCall(call: number, message: Message | undefined): void {
        const pending = this.calls.get(call);
        if (pending !== undefined) {
            this.calls.delete(call);
            clearTimeout(pending.timer);
            pending.resolve(message);
        }
    }

    private finish(): void {
        [...this.calls.keys()].forEach((call) => this.settleCall(call, undefined));
        const wasOpen = this.isOpen;
        this.isOpen = false;
        this.options.onClose(this, wasOpen);
    }
}
