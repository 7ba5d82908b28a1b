import { ClaimTable } from "../../../src/decisions/claims/ClaimTable/index.js";
import { Roster } from "../../../src/decisions/claims/Roster.js";
import { WitnessRequestKind } from "../../../src/decisions/claims/WitnessRequestKind.js";
import { ConfigurationView } from "../../../src/decisions/configuration/ConfigurationView/index.js";
import { ManifestPart } from "../../../src/decisions/configuration/ManifestPart.js";
import { partKey } from "../../../src/decisions/configuration/partKey/index.js";
import { PartKind } from "../../../src/decisions/configuration/PartKind.js";
import { GateEventKind } from "../../../src/decisions/gate/GateEventKind.js";
import { GateMachine } from "../../../src/decisions/gate/GateMachine/index.js";
import { CustomerLimiter } from "../../../src/decisions/limits/CustomerLimiter/index.js";
import { EndpointIndex } from "../../../src/decisions/membership/EndpointIndex/index.js";
import { MemberDirectory } from "../../../src/decisions/membership/MemberDirectory/index.js";
import { EndpointState } from "../../../src/model/EndpointState.js";
import { GateRef } from "../../../src/model/GateRef.js";
import { MemberRecord } from "../../../src/model/MemberRecord.js";
import { MemberState } from "../../../src/model/MemberState.js";
import { Role } from "../../../src/model/Role.js";
import { ServiceClass } from "../../../src/model/ServiceClass.js";
import { fitLine } from "../fitLine/index.js";
import { measureMemory } from "../measureMemory/index.js";
import { Slope } from "../Slope.js";

const ENDPOINTS_PER_MEMBER = 9;
const SERVICES = 680;
const DOMAINS = 15;
const RETENTION_MS = 3_600_000;
const MICROSECONDS_PER_MS = 1_000;
const REPEATS = 5;

const MEMBERS = [275, 550, 1_100, 2_200];
const ROUTES = [3_750, 7_500, 15_000, 30_000];
const CUSTOMERS = [21_250, 42_500, 85_000, 170_000];
const CLAIMS = [10_000, 20_000, 40_000, 80_000];
const BUCKETS = [1_000, 2_000, 4_000, 8_000];
const ATTEMPTS = [20_000, 40_000, 80_000, 160_000];

/**
 * Measures memory and processor time of the decision modules as a function of the number of items that they store.
 *
 * @returns One slope for each cost.
 * @example
 * measureModules().filter((slope) => slope.bent);
 */
export function measureModules(): readonly Slope[] {
    return [
        fitLine("member directory, memory", "members", "bytes", MEMBERS.map((size) => ({ size, value: measureMemory(() => createDirectory(size)) }))),
        fitLine("endpoint index, rebuild", "members", "ms", MEMBERS.map((size) => ({ size, value: timeIndex(size) }))),
        fitLine("configuration, memory", "routes", "bytes", ROUTES.map((size) => ({ size, value: measureMemory(() => createView(size, 0)) }))),
        fitLine("configuration, memory", "customers", "bytes", CUSTOMERS.map((size) => ({ size, value: measureMemory(() => createView(0, size)) }))),
        fitLine("configuration, install of one change", "customers", "ms", CUSTOMERS.map((size) => ({ size, value: timeInstall(size) }))),
        fitLine("claims at a witness, memory", "claims", "bytes", CLAIMS.map((size) => ({ size, value: measureMemory(() => createWitness(size)) }))),
        fitLine("claims at a witness, processor", "claims", "ms", CLAIMS.map((size) => ({ size, value: time(() => createWitness(size)) }))),
        fitLine("customer limits at an entry, memory", "customers seen", "bytes", BUCKETS.map((size) =>
            ({ size, value: measureMemory(() => createLimiter(size)) }))),
        fitLine("gate decisions, processor", "attempts", "ms", ATTEMPTS.map((size) => ({ size, value: time(() => runGate(size)) }))),
    ];
}

function time(action: () => unknown): number {
    const samples = Array.from({ length: REPEATS }, () => {
        const startedAtMs = performance.now();
        action();
        return performance.now() - startedAtMs;
    });
    return Math.min(...samples);
}

function createDirectory(members: number): MemberDirectory {
    const directory = MemberDirectory.create();
    for (let index = 0; index < members; index += 1) {
        directory.merge(createMember(index), 0);
    }
    return directory;
}

function createMember(index: number): MemberRecord {
    const incarnation = `vm-${index}@${String(index).padStart(12, "0")}`;
    return {
        vm: `vm-${index}`,
        startedAtMs: index,
        incarnation,
        sequence: 1,
        failureDomain: `domain-${index % DOMAINS}`,
        roles: [Role.Proxy],
        state: MemberState.Serving,
        controlIdentity: "",
        linkAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:7100`,
        gateAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:7102`,
        endpoints: Array.from({ length: ENDPOINTS_PER_MEMBER }, (_, endpoint) => ({
            endpointId: `endpoint-${index}-${endpoint}`,
            gate: `${incarnation}.${endpoint}`,
            service: `service-${(index * ENDPOINTS_PER_MEMBER + endpoint) % SERVICES}`,
            state: EndpointState.Serving,
            slots: 5,
            connections: 400,
        })),
    };
}

function timeIndex(members: number): number {
    const directory = createDirectory(members);
    return time(() => EndpointIndex.create(directory).servingEndpoints("service-1"));
}

function createView(routes: number, customers: number): ConfigurationView {
    const parts: ManifestPart[] = [
        ...Array.from({ length: routes }, (_, index): ManifestPart => ({
            kind: PartKind.Route,
            value: {
                host: `host-${index % SERVICES}.example`,
                pathPrefix: `/path-${index}`,
                service: `service-${index % SERVICES}`,
                idempotentMethods: ["GET", "HEAD", "OPTIONS"],
            },
        })),
        ...Array.from({ length: customers }, (_, index): ManifestPart => ({
            kind: PartKind.Customer,
            value: { name: `organisation-${index}`, requestsPerSecond: 10, burst: 20 },
        })),
    ];
    const position = { term: 1, version: 1, manifestVersion: 1 };
    return ConfigurationView.create(position, new Map(parts.map((part) => [partKey(part), part])));
}

function timeInstall(customers: number): number {
    const view = createView(0, customers);
    const part: ManifestPart = { kind: PartKind.Customer, value: { name: "organisation-1", requestsPerSecond: 11, burst: 20 } };
    return time(() => view.withDelta({ term: 1, version: 2, manifestVersion: 2 }, { set: [part], removed: [] }));
}

function createWitness(claims: number): ClaimTable {
    const gate: GateRef = {
        vm: "vm-1",
        gate: "vm-1@0123456789ab.1",
        endpointId: "endpoint-1",
        failureDomain: "domain-1",
        gateAddress: "10.0.0.1:7102",
        linkAddress: "10.0.0.1:7100",
    };
    const witnesses = ["a", "b", "c", "d", "e"].map((vm) => ({ vm, incarnation: `${vm}@1`, failureDomain: vm, linkAddress: `${vm}:1` }));
    const roster: Roster = { epoch: 1, witnesses, previous: [], changedAtMs: 0 };
    const claimTable = ClaimTable.create("a", "a@1", 0);
    for (let index = 0; index < claims; index += 1) {
        claimTable.handleRequest({
            kind: WitnessRequestKind.Claim,
            key: `orders/organisation-${index % 1_000}/0123456789abcdef-${index}`,
            epoch: 1,
            claim: {
                claimant: `0123456789abcdef0123456789abcdef-${index}`,
                digest: `${index}`.padStart(44, "d"),
                attempts: [{ id: { entry: "vm-9@0123456789ab", sequence: index }, gate: { ...gate } }],
            },
            voided: [],
        }, roster, 5, RETENTION_MS, 1);
    }
    return claimTable;
}

function createLimiter(customers: number): CustomerLimiter {
    const limiter = CustomerLimiter.create();
    for (let index = 0; index < customers; index += 1) {
        limiter.take(`organisation-${index}`, 10, 20, 1);
    }
    return limiter;
}

function runGate(attempts: number): GateMachine {
    const machine = GateMachine.create("gate", { slots: 5, reservedSlots: 0, connections: 400, queue: 20, keyedRetentionMs: RETENTION_MS });
    for (let sequence = 1; sequence <= attempts; sequence += 1) {
        const nowMs = sequence / MICROSECONDS_PER_MS;
        const id = { entry: `entry-${sequence % 50}`, sequence };
        machine.step({
            kind: GateEventKind.Arrive,
            attempt: {
                id,
                lowWater: Math.max(0, sequence - 100),
                gate: "gate",
                customer: `organisation-${sequence % 100}`,
                serviceClass: ServiceClass.Lookup,
                isIdempotent: true,
                keyed: false,
                deadlineAtMs: nowMs + 1_000,
            },
        }, nowMs);
        machine.step({ kind: GateEventKind.Finish, id }, nowMs);
    }
    return machine;
}
