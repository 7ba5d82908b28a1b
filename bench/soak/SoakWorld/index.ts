import { Roster } from "../../../src/decisions/claims/Roster.js";
import { GateRef } from "../../../src/model/GateRef.js";
import { Outcome } from "../../../src/model/Outcome.js";
import { createRandom } from "../createRandom/index.js";
import { FaultRates } from "../FaultRates.js";
import { GateAnswer } from "../GateAnswer.js";
import { SoakBackend } from "../SoakBackend/index.js";
import { SoakNetwork } from "../SoakNetwork/index.js";
import { SoakNode } from "../SoakNode/index.js";
import { SoakReport } from "../SoakReport.js";
import { SoakRequest } from "../SoakRequest/index.js";
import { SoakRequestSpec } from "../SoakRequestSpec.js";
import { SoakResult } from "../SoakResult.js";
import { VirtualClock } from "../VirtualClock/index.js";

const NODE_COUNT = 6;
const DOMAIN_COUNT = 3;
const MEAN_ARRIVAL_INTERVAL_MS = 12;
const MAX_VIEW_DELAY_MS = 1_500;
const MAX_RESENDS = 4;
const GRACE_MS = 1_500;
const RECOVERY_POLL_INTERVAL_MS = 200;
const MAX_DOWN_NODES = 2;

/** A simulated fleet with injected faults; checks the guarantees made to callers. */
export class SoakWorld {
    readonly clock = VirtualClock.create();
    readonly random: () => number;
    readonly network: SoakNetwork;
    readonly roster: Roster;
    private readonly backend: SoakBackend;
    private readonly nodes: readonly SoakNode[];
    private readonly requests = new Set<SoakRequest>();
    private readonly results: SoakResult[] = [];
    private readonly views = new Map<string, GateRef[]>();
    private readonly violations: string[] = [];
    private requestCount = 0;

    private constructor(seed: number, readonly rates: FaultRates, private readonly tracedWork: string) {
        this.random = createRandom(seed);
        this.network = SoakNetwork.create(this.clock, this.random, rates);
        this.backend = SoakBackend.create(this.clock, this.random, rates);
        this.nodes = Array.from({ length: NODE_COUNT }, (_, index) =>
            SoakNode.create(`vm-${index}`, `domain-${index % DOMAIN_COUNT}`, this.clock, this.network, this.backend));
        this.roster = {
            epoch: 1,
            previous: [],
            changedAtMs: 0,
            witnesses: this.nodes.slice(0, 5).map(({ vm, incarnation, failureDomain }) => ({ vm, incarnation, failureDomain, linkAddress: vm })),
        };
        this.nodes.forEach((node) => this.views.set(node.vm, this.nodes.map((other) => other.gate)));
    }

    /**
     * Runs a simulated fleet.
     *
     * @param seed - Seed of all random choices.
     * @param steps - Minimum number of scheduled actions to run before the run ends.
     * @param rates - Fault rates.
     * @param tracedWork - Work whose events are printed, if any.
     * @returns Counts of the run and the violated guarantees.
     */
    static run(seed: number, steps: number, rates: FaultRates, tracedWork = ""): SoakReport {
        return new SoakWorld(seed, rates, tracedWork).runSteps(seed, steps);
    }

    /** Prints an event of a piece of work if that work is traced. */
    trace(workId: string, subject: string, what: unknown): void {
        if (workId === this.tracedWork) {
            process.stdout.write(`${this.clock.nowMs.toFixed(1)} ${subject} ${JSON.stringify(what)}\n`);
        }
    }

    /** Returns a VM by name. */
    node(vm: string): SoakNode {
        const found = this.nodes.find((node) => node.vm === vm);
        if (found === undefined) {
            throw new Error(`no VM ${vm}`);
        }
        return found;
    }

    /** Chooses a random gate from an entry's view of the fleet, which may be outdated. */
    chooseGate(entry: SoakNode, excluded: readonly GateRef[]): GateRef | undefined {
        const candidates = (this.views.get(entry.vm) ?? []).filter((gate) => !excluded.some((other) => other.gate === gate.gate));
        return candidates[Math.floor(this.random() * candidates.length)];
    }

    /** Checks that an answer belongs to the request. */
    checkAnswerOwner(plan: SoakRequestSpec, answer: GateAnswer): void {
        if (answer.workId !== plan.workId) {
            this.recordViolation(`request ${plan.requestId} for ${plan.workId} got the answer of ${answer.workId}`);
        }
    }

    private runSteps(seed: number, steps: number): SoakReport {
        let count = 0;
        this.scheduleArrivals(() => count < steps);
        this.scheduleFaults(() => count < steps);
        try {
            while (this.clock.runNext()) {
                count += 1;
                const isEnding = count >= steps && [...this.requests].every((request) => request.hasResult);
                if (isEnding && this.clock.nowMs > this.endMs(count, steps)) {
                    break;
                }
            }
        }
        catch (thrown) {
            this.recordViolation(thrown instanceof Error ? thrown.message : String(thrown));
        }
        this.checkResults();
        return this.report(seed, count);
    }

    private stopAtMs = 0;

    private endMs(count: number, steps: number): number {
        if (this.stopAtMs === 0 && count >= steps) {
            this.stopAtMs = this.clock.nowMs + 2 * GRACE_MS;
        }
        return this.stopAtMs;
    }

    private scheduleArrivals(isOpen: () => boolean): void {
        this.clock.after(-Math.log(1 - this.random()) * MEAN_ARRIVAL_INTERVAL_MS, () => {
            if (isOpen()) {
                this.startRandomRequest();
                this.scheduleArrivals(isOpen);
            }
        });
    }

    private startRandomRequest(): void {
        this.requestCount += 1;
        const kind = this.random();
        const workId = `work-${this.requestCount}`;
        const isKeyed = kind < 0.4;
        this.startRequest({
            requestId: `request-${this.requestCount}`,
            workId,
            idempotent: kind > 0.7,
            key: isKeyed ? `key-${this.requestCount}` : undefined,
            timeoutMs: 800 + this.random() * 1_500,
        }, 0);
        if (isKeyed && this.random() < 0.2) {
            this.startRequest({
                requestId: `request-${this.requestCount}-twin`,
                workId,
                idempotent: false,
                key: `key-${this.requestCount}`,
                timeoutMs: 1_500,
            }, 0);
        }
    }

    private startRequest(plan: SoakRequestSpec, resends: number): void {
        const alive = this.nodes.filter((node) => node.isAlive && !node.isDraining);
        const entry = alive[Math.floor(this.random() * alive.length)];
        if (entry === undefined) {
            return;
        }
        const request = SoakRequest.start(this, entry, plan, (result) => {
            this.requests.delete(request);
            this.results.push(result);
            this.resend(result, resends);
        });
        if (!request.hasResult) {
            this.requests.add(request);
        }
        this.clock.at(request.deadlineMs + GRACE_MS + 4_000, () => {
            if (!request.hasResult && request.isEntryAlive) {
                this.recordViolation(`request ${plan.requestId} has no result ${GRACE_MS} ms after its deadline`);
            }
        });
    }

    private resend(result: SoakResult, resends: number): void {
        const { plan } = result;
        if (plan.key !== undefined && !result.answered && resends < MAX_RESENDS) {
            this.clock.after(this.random() * 300, () => this.startRequest({ ...plan, requestId: `${plan.requestId}-r${resends}` }, resends + 1));
        }
    }

    private scheduleFaults(isOpen: () => boolean): void {
        const { cutEveryMs, killEveryMs, freezeEveryMs, drainEveryMs } = this.rates;
        this.repeat(cutEveryMs, isOpen, () => {
            this.network.cut(this.randomNode().vm, this.randomNode().vm, this.random() * 3_000);
        });
        this.repeat(killEveryMs, isOpen, () => this.killRandom());
        this.repeat(freezeEveryMs, isOpen, () => this.randomNode().freeze(this.random() * 2_000));
        this.repeat(drainEveryMs, isOpen, () => this.drainRandom());
    }

    private repeat(meanMs: number, isOpen: () => boolean, action: () => void): void {
        this.clock.after(-Math.log(1 - this.random()) * meanMs, () => {
            if (isOpen()) {
                action();
                this.repeat(meanMs, isOpen, action);
            }
        });
    }

    private killRandom(): void {
        const node = this.randomNode();
        const down = this.nodes.filter((other) => !other.isAlive).length;
        if (node.isAlive && down < MAX_DOWN_NODES) {
            this.stop(node);
            this.clock.after(100 + this.random() * 2_000, () => this.restart(node));
        }
    }

    private drainRandom(): void {
        const node = this.randomNode();
        if (!node.isAlive || node.isDraining) {
            return;
        }
        this.propagateGate(node, false);
        node.drain(() => this.stopDrained(node));
    }

    private stopDrained(node: SoakNode): void {
        if (node.running > 0) {
            this.recordViolation(`${node.vm} reported that it was drained while ${node.running} attempts were running`);
        }
        if (node.inFlight > 0) {
            this.clock.after(20, () => {
                if (node.isAlive && node.isDraining) {
                    this.stopDrained(node);
                }
            });
            return;
        }
        this.stop(node);
        this.clock.after(this.random() * 500, () => this.restart(node));
    }

    private stop(node: SoakNode): void {
        node.kill();
        [...this.requests].filter((request) => !request.isEntryAlive).forEach((request) => request.handleEntryLoss());
    }

    private restart(node: SoakNode): void {
        if (!node.isAlive) {
            node.start();
            this.propagateGate(node, true);
            this.recoverWitness(node, node.incarnation);
        }
    }

    private propagateGate(node: SoakNode, isServing: boolean): void {
        const { gate } = node;
        this.nodes.forEach((other) => {
            this.clock.after(this.random() * MAX_VIEW_DELAY_MS, () => {
                const otherGates = (this.views.get(other.vm) ?? []).filter((ref) => ref.vm !== gate.vm);
                this.views.set(other.vm, isServing ? [...otherGates, gate] : otherGates);
            });
        });
    }

    private recoverWitness(node: SoakNode, incarnation: string): void {
        const isWitness = this.roster.witnesses.some((witness) => witness.vm === node.vm);
        if (!isWitness || !node.isAlive || node.incarnation !== incarnation) {
            return;
        }
        const others = this.roster.witnesses.filter((witness) => witness.vm !== node.vm && node.witness.canCopyClaims(this.clock.nowMs));
        for (const other of others) {
            const peer = this.node(other.vm);
            this.network.send(node, peer, false, () => {
                const entries = peer.exportClaims(this.roster);
                this.network.send(peer, node, false, () => {
                    if (node.incarnation === incarnation && entries !== undefined) {
                        node.witness.importClaims(peer.vm, entries, this.clock.nowMs);
                    }
                });
            });
        }
        const isComplete = node.isWitnessComplete(this.roster);
        if (!isComplete) {
            this.clock.after(RECOVERY_POLL_INTERVAL_MS, () => this.recoverWitness(node, incarnation));
        }
    }

    private randomNode(): SoakNode {
        return this.nodes[Math.floor(this.random() * this.nodes.length)] ?? this.node("vm-0");
    }

    private checkResults(): void {
        const idempotentWork = new Set(this.results.filter((result) => result.plan.idempotent).map((result) => result.plan.workId));
        for (const [workId, executions] of this.backend.executionsByWork) {
            if (executions > 1 && !idempotentWork.has(workId)) {
                this.recordViolation(`${workId} is not idempotent and ran ${executions} times`);
            }
        }
        for (const { plan, outcome, answered } of this.results) {
            const ran = this.backend.executionsByRequest.get(plan.requestId) ?? 0;
            if (outcome === Outcome.NotRun && ran > 0) {
                this.recordViolation(`request ${plan.requestId} was answered not-run and ran ${ran} times`);
            }
            if (outcome === Outcome.Ran && (this.backend.executionsByWork.get(plan.workId) ?? 0) === 0) {
                this.recordViolation(`request ${plan.requestId} was answered ran and did not run (answered: ${answered})`);
            }
        }
    }

    private recordViolation(statement: string): void {
        this.violations.push(`at ${Math.round(this.clock.nowMs)} ms: ${statement}`);
    }

    private report(seed: number, steps: number): SoakReport {
        const count = (condition: (result: SoakResult) => boolean): number => this.results.filter(condition).length;
        return {
            seed,
            steps,
            virtualMs: Math.round(this.clock.nowMs),
            requests: this.results.length,
            answered: count((result) => result.answered),
            notRun: count((result) => result.outcome === Outcome.NotRun),
            unknown: count((result) => result.outcome === Outcome.Unknown),
            violations: this.violations,
        };
    }
}
