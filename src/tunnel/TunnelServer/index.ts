import { once } from "node:events";
import { WebSocket, WebSocketServer } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { FleetError } from "../../model/FleetError.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { Frame } from "../Frame.js";
import { FrameKind } from "../FrameKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { isFinalReply } from "../isFinalReply/index.js";
import { TunnelServerSetup } from "../TunnelServerSetup.js";
import { TunnelSocket } from "../TunnelSocket/index.js";
import { WorkHandle } from "../WorkHandle.js";
import { WorkOffer } from "../WorkOffer.js";

/** Time for which the fate of work that must not be repeated is kept after it ended, in ms; above any deadline. */
const RETAIN_MS = 30_000;
const TIDY_MS = 2_000;
const MAX_FRAME_BYTES = 128 * 1_024 * 1_024;

interface Work {
    readonly offer: WorkOffer;
    handle: WorkHandle | undefined;
    /** Connection that gets the replies, or undefined while there is none. */
    socket: TunnelSocket | undefined;
    hasStarted: boolean;
    final: GateReply | undefined;
    endedAtMs: number;
}

/** The gate's end of the tunnels from entries. Keeps work that must not be repeated across broken connections. */
export class TunnelServer {
    private readonly work = new Map<string, Work>();
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly server: WebSocketServer, private readonly setup: TunnelServerSetup) {
        this.timer = setInterval(() => this.tidy(), TIDY_MS);
        server.on("connection", (webSocket: WebSocket) => this.accept(webSocket));
    }

    /**
     * Starts to listen for tunnels.
     *
     * @param setup - Address, token, run of the proxy and the gate behind it.
     * @throws FleetError if the port cannot be listened on.
     */
    static async create(setup: TunnelServerSetup): Promise<TunnelServer> {
        const server = new WebSocketServer({
            host: setup.host,
            port: setup.port,
            maxPayload: MAX_FRAME_BYTES,
            perMessageDeflate: false,
            verifyClient: ({ req }: { req: { headers: NodeJS.Dict<string | string[]> } }) => req.headers.authorization === setup.token,
        });
        try {
            await once(server, "listening");
        }
        catch (thrown) {
            const cause = toError(thrown);
            throw FleetError.create({ step: Step.Listen, peer: `gate port ${setup.port}`, cause }, cause.message);
        }
        return new TunnelServer(server, setup);
    }

    /** Closes all tunnels and stops listening. */
    close(): void {
        clearInterval(this.timer);
        this.server.clients.forEach((client) => client.terminate());
        this.server.close();
    }

    private accept(webSocket: WebSocket): void {
        const socket = TunnelSocket.create(webSocket, (frame) => this.receive(socket, frame), () => this.lose(socket));
        socket.send({ kind: FrameKind.Welcome, gateRun: this.setup.gateRun });
    }

    private receive(socket: TunnelSocket, frame: Frame): void {
        switch (frame.kind) {
            case FrameKind.Offer:
                this.offer(socket, frame.offer);
                return;
            case FrameKind.Resume:
                this.resume(socket, frame.key, frame.gateRun);
                return;
            case FrameKind.Go:
                this.work.get(frame.key)?.handle?.go();
                return;
            case FrameKind.Cancel:
                this.cancel(frame.key);
                return;
            case FrameKind.Ping:
                socket.send({ kind: FrameKind.Pong });
                return;
            case FrameKind.Welcome:
            case FrameKind.Reply:
            case FrameKind.Pong:
                return;
        }
    }

    private offer(socket: TunnelSocket, offer: WorkOffer): void {
        const known = this.work.get(offer.key);
        if (known !== undefined) {
            this.attach(socket, offer.key, known);
            return;
        }
        const work: Work = { offer, handle: undefined, socket, hasStarted: false, final: undefined, endedAtMs: 0 };
        this.work.set(offer.key, work);
        work.handle = this.setup.gate.offer({ ...offer, needsGo: true }, (reply) => this.reply(offer.key, work, reply));
    }

    private reply(key: string, work: Work, reply: GateReply): void {
        work.hasStarted ||= reply.kind === GateReplyKind.Started;
        if (isFinalReply(reply)) {
            work.final = reply;
            work.endedAtMs = nowMs();
            if (work.offer.requestKind !== RequestKind.Once) {
                this.work.delete(key);
            }
        }
        if (reply.kind !== GateReplyKind.Started) {
            work.socket?.send({ kind: FrameKind.Reply, key, reply });
        }
    }

    private resume(socket: TunnelSocket, key: string, gateRun: string): void {
        const known = this.work.get(key);
        if (known !== undefined) {
            this.attach(socket, key, known);
            return;
        }
        const reply: GateReply = gateRun === this.setup.gateRun
            ? this.voidUnseen(key)
            : { kind: GateReplyKind.Broken, problem: "the gate has restarted since", lostEndpoint: false };
        socket.send({ kind: FrameKind.Reply, key, reply });
    }

    /** Remembers that an offer was given up before it arrived, so that it is refused if it still does. */
    private voidUnseen(key: string): GateReply {
        const final: GateReply = {
            kind: GateReplyKind.Refused,
            cause: RefusalCause.Voided,
            retryAfterMs: 0,
            reachedEndpoint: false,
            load: undefined,
        };
        const offer = { key, requestKind: RequestKind.Once } as WorkOffer;
        this.work.set(key, { offer, handle: undefined, socket: undefined, hasStarted: false, final, endedAtMs: nowMs() });
        return final;
    }

    private attach(socket: TunnelSocket, key: string, work: Work): void {
        work.socket = socket;
        const reply = work.final ?? { kind: work.hasStarted ? GateReplyKind.Started as const : GateReplyKind.Queued as const };
        socket.send({ kind: FrameKind.Reply, key, reply });
    }

    private cancel(key: string): void {
        const work = this.work.get(key);
        if (work !== undefined && work.final === undefined) {
            work.handle?.cancel();
            this.work.delete(key);
        }
    }

    /** Work that has not started is given up with its connection, as is work that its entry repeats elsewhere. */
    private lose(socket: TunnelSocket): void {
        [...this.work].filter(([, work]) => work.socket === socket && work.final === undefined).forEach(([key, work]) => {
            work.socket = undefined;
            if (work.offer.requestKind !== RequestKind.Once) {
                this.cancel(key);
            }
            else if (!work.hasStarted) {
                work.handle?.cancel();
                this.voidUnseen(key);
            }
        });
    }

    private tidy(): void {
        const beforeMs = nowMs() - RETAIN_MS;
        [...this.work].filter(([, work]) => work.final !== undefined && work.endedAtMs < beforeMs).forEach(([key]) => this.work.delete(key));
    }
}
