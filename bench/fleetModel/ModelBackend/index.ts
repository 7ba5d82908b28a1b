import { BackendExchange } from "../../../src/backend/BackendExchange.js";
import { BackendPort } from "../../../src/backend/BackendPort.js";
import { BackendResult } from "../../../src/backend/BackendResult.js";
import { BackendResultKind } from "../../../src/backend/BackendResultKind.js";
import { nowMs } from "../../../src/clock/nowMs/index.js";
import { HeaderList } from "../../../src/model/HeaderList.js";
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
const STATUS_OK = 200;
const STATUS_INTERNAL_SERVER_ERROR = 500;

/** Backend server of a `FleetModel`: answers after a random time, without a network. */
export class ModelBackend implements BackendPort {
    /** Times at which requests have arrived, in ms. */
    readonly arrivalsAtMs: number[] = [];
    readonly openedCount = 0;
    /** Requests per second that it says in its answers it accepts, or undefined. */
    limitPerSecond: number | undefined;

    private constructor(private readonly service: ModelService, private readonly phaseMs: number, private readonly random: () => number) {}

    /**
     * Creates a backend server.
     *
     * @param service - Service that it belongs to.
     * @param random - Source of numbers in [0, 1).
     */
    static create(service: ModelService, random: () => number): ModelBackend {
        return new ModelBackend(service, random() * FAILURE_PERIOD_MS, random);
    }

    send(): BackendExchange {
        this.arrivalsAtMs.push(nowMs());
        const isFailing = (nowMs() + this.phaseMs) % FAILURE_PERIOD_MS < this.service.failingShare * FAILURE_PERIOD_MS;
        const fails = this.random() < (isFailing ? FAILED_SHARE : BACKGROUND_FAILED_SHARE);
        const workMs = this.service.workMs * (1 + MAX_WORK_DEVIATION * (2 * this.random() - 1));
        const status = fails ? STATUS_INTERNAL_SERVER_ERROR : STATUS_OK;
        let timer: NodeJS.Timeout | undefined;
        const result = new Promise<BackendResult>((resolve) => {
            timer = setTimeout(
                () => resolve({ kind: BackendResultKind.Answered, answer: { status, headers: this.responseHeaders, body: Buffer.alloc(0) } }),
                fails ? FAILURE_MS : workMs,
            );
        });
        return { result, cancel: () => clearTimeout(timer) };
    }

    private get responseHeaders(): HeaderList {
        return this.limitPerSecond === undefined ? [] : [[ModelHeaderName.Limit, String(this.limitPerSecond)]];
    }

    closeUnusable(): void {}

    close(): void {}
}
