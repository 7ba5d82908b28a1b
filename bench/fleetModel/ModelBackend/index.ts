import { BackendExchange } from "../../../src/backend/BackendExchange.js";
import { BackendPort } from "../../../src/backend/BackendPort.js";
import { BackendRequest } from "../../../src/backend/BackendRequest.js";
import { BackendResponse } from "../../../src/backend/BackendResponse.js";
import { BackendResult } from "../../../src/backend/BackendResult.js";
import { BackendResultKind } from "../../../src/backend/BackendResultKind.js";
import { nowMs } from "../../../src/clock/nowMs/index.js";
import { findHeader } from "../../../src/http/findHeader/index.js";
import { ModelHeaderName } from "../ModelHeaderName.js";
import { ModelService } from "../ModelService.js";

/** Period in which each endpoint fails once, for its service's share of the period, in ms. */
const FAILURE_PERIOD_MS = 9_000;
/** Share of the requests of a failing endpoint that fail. */
const FAILED_SHARE = 0.85;
/** Share of the requests of a healthy endpoint that fail. */
const BACKGROUND_FAILED_SHARE = 0.012;
/** Time after which a failed request is answered, in ms. */
const FAILURE_MS = 20;
const MAX_WORK_DEVIATION = 0.3;
/** Share of the slots from which an endpoint counts as nearly full. */
const NEARLY_FULL = 0.75;
/** Part of the path of a short call, and its share of the usual time. */
const SHORT_PATH = "/short/";
const SHORT_FACTOR = 0.2;
const STATUS_OK = 200;
const STATUS_INTERNAL_SERVER_ERROR = 500;

/** Backend server of a `FleetModel`: answers after a random time, without a network. */
export class ModelBackend implements BackendPort {
    /** Times at which requests have arrived, in ms. */
    readonly arrivalsAtMs: number[] = [];
    readonly openedCount = 0;
    readonly bufferedBytes = 0;
    readonly requestBytes = 0;
    /** Entries of these requests, in the same order. */
    readonly arrivedFrom: string[] = [];
    /** Times at which it first answered a request of an entry that it leaves, by entry, in ms. */
    readonly toldLeavingAtMs = new Map<string, number>();
    /** True if it says in its answers that it leaves. */
    isLeaving = false;
    /** Requests per second that it says in its answers it accepts, or undefined. */
    limitPerSecond: number | undefined;

    private runningCount = 0;
    private readonly body: Buffer;

    private constructor(
        private readonly service: ModelService,
        private readonly phaseMs: number,
        private readonly slowness: number,
        private readonly random: () => number,
    ) {
        this.body = Buffer.alloc(service.responseBytes ?? 0);
    }

    /**
     * Creates a backend server.
     *
     * @param service - Service that it belongs to.
     * @param random - Source of numbers in [0, 1).
     * @param slowness - Factor on the time that a request runs.
     */
    static create(service: ModelService, random: () => number, slowness = 1): ModelBackend {
        return new ModelBackend(service, random() * FAILURE_PERIOD_MS, slowness, random);
    }

    send({ headers, path }: BackendRequest): BackendExchange {
        const entry = findHeader(headers, ModelHeaderName.Entry) ?? "";
        this.arrivalsAtMs.push(nowMs());
        this.arrivedFrom.push(entry);
        const isFailing = (nowMs() + this.phaseMs) % FAILURE_PERIOD_MS < this.service.failingShare * FAILURE_PERIOD_MS;
        const fails = this.random() < (isFailing ? FAILED_SHARE : BACKGROUND_FAILED_SHARE);
        this.runningCount += 1;
        const workMs = this.service.workMs * (1 + MAX_WORK_DEVIATION * (2 * this.random() - 1)) * this.slownessNow
            * (path.includes(SHORT_PATH) ? SHORT_FACTOR : 1);
        const status = fails ? STATUS_INTERNAL_SERVER_ERROR : STATUS_OK;
        let timer: NodeJS.Timeout | undefined;
        const result = new Promise<BackendResult>((resolve) => {
            timer = setTimeout(
                () => {
                    this.runningCount -= 1;
                    resolve({ kind: BackendResultKind.Answered, answer: this.createAnswer(status, entry) });
                },
                fails ? FAILURE_MS : workMs,
            );
        });
        return {
            result,
            cancel: () => {
                clearTimeout(timer);
                this.runningCount -= 1;
            },
        };
    }

    private get slownessNow(): number {
        const { slots, fullSlowness } = this.service;
        return this.slowness * (this.runningCount > NEARLY_FULL * slots ? fullSlowness ?? 1 : 1);
    }

    private createAnswer(status: number, entry: string): BackendResponse {
        const headers: [string, string][] = [];
        if (this.limitPerSecond !== undefined) {
            headers.push([ModelHeaderName.Limit, String(this.limitPerSecond)]);
        }
        if (this.isLeaving) {
            headers.push([ModelHeaderName.Leaving, "1"]);
            this.toldLeavingAtMs.set(entry, this.toldLeavingAtMs.get(entry) ?? nowMs());
        }
        return { status, headers, body: this.body };
    }

    closeUnusable(): void {}

    close(): void {}
}
