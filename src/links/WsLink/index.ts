import { randomUUID, timingSafeEqual } from "node:crypto";
import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { TokenBucket } from "../../decisions/limits/TokenBucket/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { Envelope } from "../Envelope.js";
import { PeerLink } from "../PeerLink.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";
import { PeerIdentity } from "../PeerIdentity.js";
import { packHeartbeat } from "../packHeartbeat/index.js";
import { unpackHeartbeat } from "../unpackHeartbeat/index.js";
import { computeKeyProof } from "../computeKeyProof/index.js";
import { deflateFrame } from "../deflateFrame/index.js";
import { inflateFrame } from "../inflateFrame/index.js";
import { WsLinkOptions } from "../WsLinkOptions.js";

/** Maximum number of messages of one link per second that are reported as not handled. */
const ERROR_REPORTS_PER_SECOND = 5;
const packr = new Packr({ useRecords: true });
const unpackr = new Unpackr({ useRecords: true });
/** Compressed frames of large messages, for as long as their senders hold the messages. */
const deflatedFrames = new WeakMap<Message, Buffer>();

interface PendingCall {
    readonly resolve: (message: Message | undefined) => void;
    readonly timer: NodeJS.Timeout;
}

/** A link over a WebSocket. It authenticates both ends, then transfers messages, calls and replies. */
export class WsLink implements PeerLink {
    private readonly nonce = randomUUID();
    private readonly errorReports = TokenBucket.create(ERROR_REPORTS_PER_SECOND, ERROR_REPORTS_PER_SECOND, nowMs());
    private readonly pendingCalls = new Map<number, PendingCall>();
    private identity: PeerIdentity | undefined;
    private nextCallNumber = 1;
    private isOpen = false;

    private constructor(private readonly socket: WebSocket, private readonly options: WsLinkOptions) {}

    /**
     * Creates a link over a socket. The end that accepted the socket sends the challenge.
     *
     * @param socket - Open or connecting socket.
     * @param options - Local identity, fleet key and callbacks.
     */
    static create(socket: WebSocket, options: WsLinkOptions): WsLink {
        const link = new WsLink(socket, options);
        socket.on("message", (data: Buffer) => link.handleFrame(data));
        socket.on("close", () => link.handleClose());
        socket.on("error", (thrown) => options.onError(FleetError.create({ step: Step.Link, peer: link.peerName, cause: thrown }, thrown.message)));
        if (options.isServer) {
            link.send({ kind: MessageKind.Challenge, nonce: link.nonce });
        }
        return link;
    }

    /**
     * Identity of the other end.
     *
     * @throws FleetError before the link is open.
     */
    get peer(): PeerIdentity {
        if (this.identity === undefined) {
            throw FleetError.create({ step: Step.Link, peer: this.peerName }, "the link is not open");
        }
        return this.identity;
    }

    /** Sends a message; dropped if the socket is not open. Closes the link if the peer does not read. */
    send(message: Message): void {
        this.sendEnvelope({ message });
    }

    /**
     * Sends a message and waits for its reply.
     *
     * @param message - Message to send.
     * @param timeoutMs - Time to wait for the reply, in ms.
     * @returns The reply, or undefined if none arrived in time.
     */
    call(message: Message, timeoutMs: number): Promise<Message | undefined> {
        const call = this.nextCallNumber;
        this.nextCallNumber += 1;
        return new Promise((resolve) => {
            const timer = setTimeout(() => this.completeCall(call, undefined), timeoutMs);
            this.pendingCalls.set(call, { resolve, timer });
            this.sendEnvelope({ message, call });
        });
    }

    /** Closes the link immediately. */
    close(): void {
        this.socket.terminate();
    }

    private get isRemote(): boolean {
        return this.identity !== undefined && this.identity.failureDomain !== this.options.identity.failureDomain;
    }

    private get peerName(): string {
        return this.identity?.vm ?? this.options.address;
    }

    private sendEnvelope(envelope: Envelope): void {
        if (this.socket.readyState === WebSocket.OPEN) {
            const data = this.encode(envelope);
            if (data !== undefined) {
                this.options.bytes.sent += data.length;
                this.options.bytes.sentToOtherDomains += this.isRemote ? data.length : 0;
                this.options.budget.send(this.socket, data);
            }
        }
    }

    /** Encodes an envelope. What cannot be encoded is reported and not sent; most messages are sent by timers, which handle no errors. */
    private encode(envelope: Envelope): Buffer | undefined {
        try {
            return this.identity?.readsDeflatedFrames === true ? this.encodeDeflated(envelope) : packr.pack(this.compact(envelope));
        }
        catch (thrown) {
            this.reportMessageError(thrown);
            return undefined;
        }
    }

    /** Encodes and compresses an envelope; a large message that goes to many peers only once. */
    private encodeDeflated(envelope: Envelope): Buffer {
        const { message, call, reply } = envelope;
        const isShared = call === undefined && reply === undefined;
        const known = isShared ? deflatedFrames.get(message) : undefined;
        if (known !== undefined) {
            return known;
        }
        const frame = packr.pack(this.compact(envelope));
        const data = deflateFrame(frame);
        if (isShared && data !== frame) {
            deflatedFrames.set(message, data);
        }
        return data;
    }

    /** Packs a heartbeat if the peer reads packed ones. */
    private compact(envelope: Envelope): Envelope | readonly number[] {
        const { message } = envelope;
        return message.kind === MessageKind.Heartbeat && this.identity?.readsPackedHeartbeats === true ? packHeartbeat(message) : envelope;
    }

    private decode(data: Buffer): Envelope {
        const content = unpackr.unpack(data) as Envelope | readonly unknown[];
        return Array.isArray(content) ? { message: unpackHeartbeat(content, this.peerName) } : content as Envelope;
    }

    private handleFrame(data: Buffer): void {
        this.options.bytes.received += data.length;
        let envelope: Envelope;
        try {
            const { budget } = this.options;
            // Only members of the fleet may have this process inflate a frame.
            const frame = this.isOpen ? inflateFrame(data, budget.maxFrameBytes) : data;
            budget.checkDecodedSize(frame);
            envelope = this.decode(frame);
            if (!this.isOpen) {
                this.handleHandshake(envelope.message);
                return;
            }
        }
        catch (thrown) {
            const cause = toError(thrown);
            this.options.onError(FleetError.create({ step: Step.Link, peer: this.peerName, cause }, `invalid frame: ${cause.message}`));
            this.close();
            return;
        }
        try {
            this.handleEnvelope(envelope);
        }
        catch (thrown) {
            this.reportMessageError(thrown);
        }
    }

    /** Reports a message that could not be handled or encoded. Another link would only bring the same message again, so this one stays. */
    private reportMessageError(thrown: unknown): void {
        if (this.errorReports.take(nowMs()) > 0) {
            return;
        }
        const cause = toError(thrown);
        this.options.onMessageError(FleetError.create({ step: Step.Link, peer: this.peerName, cause }, `message not handled: ${cause.message}`));
    }

    private handleEnvelope(envelope: Envelope): void {
        if (envelope.reply !== undefined) {
            this.completeCall(envelope.reply, envelope.message);
        }
        else if (envelope.call !== undefined) {
            this.handleCall(envelope.call, envelope.message).catch((thrown: unknown) => this.reportMessageError(thrown));
        }
        else {
            this.options.onMessage(this, envelope.message);
        }
    }

    private async handleCall(call: number, request: Message): Promise<void> {
        const message = await this.options.onCall(this, request);
        if (message !== undefined) {
            this.sendEnvelope({ message, reply: call });
        }
    }

    private handleHandshake(message: Message): void {
        const { fleetKey } = this.options;
        const identity: PeerIdentity = { ...this.options.identity, readsPackedHeartbeats: true, readsDeflatedFrames: true };
        switch (message.kind) {
            case MessageKind.Challenge:
                this.send({ kind: MessageKind.Hello, identity, nonce: this.nonce, proof: computeKeyProof(fleetKey, message.nonce, identity.vm) });
                return;
            case MessageKind.Hello:
                this.verifyProof(message.proof, message.identity);
                this.send({ kind: MessageKind.Welcome, identity, proof: computeKeyProof(fleetKey, message.nonce, identity.vm) });
                this.open(message.identity);
                return;
            case MessageKind.Welcome:
                this.verifyProof(message.proof, message.identity);
                this.open(message.identity);
                return;
            default:
                throw FleetError.create({ step: Step.Handshake, peer: this.peerName }, `unexpected message "${message.kind}"`);
        }
    }

    private verifyProof(proof: string, identity: PeerIdentity): void {
        const expected = Buffer.from(computeKeyProof(this.options.fleetKey, this.nonce, identity.vm));
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

    private completeCall(call: number, message: Message | undefined): void {
        const pending = this.pendingCalls.get(call);
        if (pending !== undefined) {
            this.pendingCalls.delete(call);
            clearTimeout(pending.timer);
            pending.resolve(message);
        }
    }

    private handleClose(): void {
        [...this.pendingCalls.keys()].forEach((call) => this.completeCall(call, undefined));
        const wasOpen = this.isOpen;
        this.isOpen = false;
        this.options.onClose(this, wasOpen);
    }
}
