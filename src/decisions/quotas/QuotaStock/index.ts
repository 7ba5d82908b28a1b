import { OrganisationItem } from "../../items/OrganisationItem.js";
import { controlOrder } from "../controlOrder/index.js";
import { LocalQuota } from "../LocalQuota/index.js";
import { pathKey } from "../pathKey/index.js";
import { quotaBounds } from "../quotaBounds/index.js";
import { QuotaBounds } from "../QuotaBounds.js";
import { QuotaControl } from "../QuotaControl.js";
import { QuotaDecisionKind } from "../QuotaDecisionKind.js";
import { QuotaEffect } from "../QuotaEffect.js";
import { QuotaEffectKind } from "../QuotaEffectKind.js";
import { QuotaGrant } from "../QuotaGrant.js";
import { QuotaPath } from "../QuotaPath.js";
import { QuotaRequest } from "../QuotaRequest.js";
import { QuotaStockOptions } from "../QuotaStockOptions.js";
import { QuotaView } from "../QuotaView.js";

/** Time after which a control VM that has not replied counts as out of contact, in ms. */
const REPLY_TIMEOUT_MS = 150;
/** Time for which such a control VM is not asked, in ms. */
const SILENCE_MS = 1_000;
/** Number of silent control VMs from which others are asked through relays; one alone may have stopped. */
const MIN_SILENT_CONTROLS = 2;
/** Maximum time that a request waits for its decision, in ms. */
const MAX_ASKING_MS = 400;
/** Time after which a reply is not expected any more, in ms; a link that is silent for less is still open. */
const MAX_REPLY_MS = 4_000;
/** Number of paths from which those are forgotten that say nothing any more; a proxy uses few at a time. */
const MAX_PATHS = 32;
/** Time of the recent rate of an organisation for which tokens are fetched ahead, in ms. */
const PREFETCH_MS = 250;
/** Time constant of the recent rate, in ms. */
const RATE_WINDOW_MS = 2_000;
/** Minimum and maximum of the stated time to return, in ms. Beyond the maximum too few callers return to plan for them. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 10_000;
/** Time without a refusal after which the refusals of an organisation count as ended, in ms. */
const REFUSALS_END_MS = 5_000;
const MS_PER_SECOND = 1_000;

interface Token {
    readonly expiresAtMs: number;
}

interface WaitingRequest {
    readonly request: number;
    readonly deadlineAtMs: number;
    readonly giveUpAtMs: number;
}

interface SentAsk {
    readonly id: number;
    readonly count: number;
    readonly sentAtMs: number;
    readonly replyDueAtMs: number;
}

/** State of one organisation. */
interface Account {
    organisation: OrganisationItem;
    bounds: QuotaBounds;
    /** Tokens in the order of their expiry. */
    tokens: Token[];
    waiting: WaitingRequest[];
    /** Path on which a control VM is being asked. */
    asked: QuotaPath | undefined;
    /** Asks without a reply, by the key of their path, the latest last. */
    readonly sentAsks: Map<string, SentAsk[]>;
    /** Time until which the control VM has no token, in ms, by the key of the path on which it was asked. */
    readonly emptyUntilMs: Map<string, number>;
    readonly local: LocalQuota;
    /** Decaying number of granted requests. */
    recentGrants: number;
    recentAtMs: number;
    /** Time at which the latest of the refused callers was told to return, in ms. */
    promisedAtMs: number;
    refusedAtMs: number | undefined;
    refusals: number;
}

/**
 * Tokens that a proxy holds for the requests of each organisation. A request takes one token; without one, control VMs are asked
 * in turn, and the request is refused once all of them have none. Tokens are leased, so that an unused one does not add to a
 * later window.
 *
 * Designed for 104 proxies that share limits of a few requests per second, of which one organisation exceeds its limit eightfold.
 */
export class QuotaStock {
    private readonly accounts = new Map<string, Account>();
    /** Accounts with requests that wait, or whose refusals have not ended. */
    private readonly activeAccounts = new Set<Account>();
    /** Time until which control VMs that did not reply are not asked, in ms, by the key of the path. */
    private readonly silentUntilMs = new Map<string, number>();
    private hasBeenInContact = false;
    private hasContact = true;
    private localTotal = 0;
    private askCount = 0;

    private constructor(private readonly options: QuotaStockOptions) {}

    /**
     * Creates an empty stock.
     *
     * @param options - Settings.
     */
    static create(options: QuotaStockOptions): QuotaStock {
        return new QuotaStock(options);
    }

    /** Number of tokens held, including expired ones that have not been dropped yet. */
    get tokenCount(): number {
        return [...this.accounts.values()].reduce((total, { tokens }) => total + tokens.length, 0);
    }

    /** Number of requests that wait for their decision. */
    get waitingCount(): number {
        return [...this.accounts.values()].reduce((total, { waiting }) => total + waiting.length, 0);
    }

    /** Number of paths to control VMs about which something is remembered, for all organisations. */
    get pathCount(): number {
        return [...this.accounts.values()].reduce((total, { emptyUntilMs, sentAsks }) => total + emptyUntilMs.size + sentAsks.size, 0);
    }

    /** Number of requests granted without contact with a control VM. */
    get localCount(): number {
        return this.localTotal;
    }

    /** Time of the next event of `advance`, in ms, or undefined if none is due. */
    get wakeAtMs(): number | undefined {
        const times = [...this.activeAccounts].flatMap((account) => [
            ...account.waiting.map(({ giveUpAtMs }) => giveUpAtMs),
            ...this.replyDueAtMs(account),
            ...account.refusedAtMs === undefined ? [] : [account.refusedAtMs + REFUSALS_END_MS],
        ]);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /**
     * Takes a token for a request.
     *
     * @param request - The request.
     * @param view - What is known about the fleet.
     * @param nowMs - Current time.
     * @returns The actions to carry out; among them the decision, unless control VMs have to be asked.
     */
    acquire({ request, organisation, deadlineAtMs }: QuotaRequest, view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        const account = this.getOrCreate(organisation);
        account.waiting.push({ request, deadlineAtMs, giveUpAtMs: Math.min(deadlineAtMs, nowMs + MAX_ASKING_MS) });
        this.activeAccounts.add(account);
        return this.advanceAccount(account, view, nowMs);
    }

    /**
     * Applies the reply of a control VM.
     *
     * @param path - Path on which the reply came.
     * @param id - Number of the ask that it replies to.
     * @param grants - What it grants.
     * @param view - What is known about the fleet.
     * @param nowMs - Current time.
     * @returns The actions to carry out.
     */
    applyGrants(path: QuotaPath, id: number, grants: readonly QuotaGrant[], view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        const key = pathKey(path);
        return grants.flatMap((grant) => {
            const account = this.accounts.get(grant.organisation);
            const asks = account?.sentAsks.get(key) ?? [];
            const ask = asks.find((sent) => sent.id === id);
            if (account === undefined || ask === undefined) {
                return [];
            }
            if (asks.at(-1) === ask) {
                clearAsked(account, key);
            }
            account.sentAsks.set(key, asks.filter((sent) => sent !== ask));
            account.emptyUntilMs.set(key, nowMs + grant.waitMs);
            // Counted from the ask: this process may have been paused before it read the reply.
            this.addTokens(account, Math.min(grant.count, ask.count), ask.sentAtMs + account.bounds.leaseMs);
            return this.advanceAccount(account, view, nowMs);
        });
    }

    /**
     * Handles the passing of time: control VMs that have not replied, requests that have waited too long, and the end of refusals. Nothing
     * else takes note of the time that has passed, so that the driver can read replies first that came while the process was paused.
     */
    advance(view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        return [...this.activeAccounts].flatMap((account) => {
            const silence = this.recordSilence(account, nowMs);
            const late = account.waiting.filter(({ giveUpAtMs }) => giveUpAtMs <= nowMs);
            account.waiting = account.waiting.filter(({ giveUpAtMs }) => giveUpAtMs > nowMs);
            return [
                ...silence,
                ...late.flatMap((waiting) => this.decideLocally(account, waiting, view, nowMs)),
                ...this.advanceAccount(account, view, nowMs),
                ...this.endRefusals(account, nowMs),
            ];
        });
    }

    /**
     * Starts the waits for replies again, because this process did not run for a time: a reply that could not be read does not show that a
     * control VM is out of contact. Deadlines of requests stay.
     */
    restartWaits(nowMs: number): void {
        this.activeAccounts.forEach((account) => {
            account.waiting = account.waiting.map((waiting) => ({ ...waiting, giveUpAtMs: Math.min(waiting.deadlineAtMs, nowMs + MAX_ASKING_MS) }));
            account.sentAsks.forEach((asks, key) => {
                account.sentAsks.set(key, asks.map((ask) => ({ ...ask, replyDueAtMs: nowMs + REPLY_TIMEOUT_MS })));
            });
        });
    }

    /** Serves the requests that wait after a token was given back or a link was closed. */
    serve(view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        return [...this.activeAccounts].flatMap((account) => this.advanceAccount(account, view, nowMs));
    }

    /**
     * Returns the token of a request that has not run. It keeps its expiry, since otherwise tokens could be saved up for as long as
     * all requests are refused.
     */
    giveBack(organisation: string, expiresAtMs: number): void {
        const account = this.accounts.get(organisation);
        if (account !== undefined) {
            this.addTokens(account, 1, expiresAtMs);
        }
    }

    /** Forgets what was asked on a path, because its link is closed or its proxy cannot be reached. */
    removePath(path: QuotaPath): void {
        const key = pathKey(path);
        this.silentUntilMs.delete(key);
        this.accounts.forEach((account) => {
            account.sentAsks.delete(key);
            account.emptyUntilMs.delete(key);
            clearAsked(account, key);
        });
    }

    /** Drops the state of organisations that are no longer in force, and applies changed limits. */
    setOrganisations(organisations: readonly OrganisationItem[]): readonly QuotaEffect[] {
        const withLimit = organisations.filter(({ ratePerSecond }) => ratePerSecond > 0);
        const limited = new Map(withLimit.map((organisation) => [organisation.name, organisation]));
        return [...this.accounts.values()].flatMap((account) => {
            const { organisation: { name } } = account;
            const current = limited.get(name);
            if (current !== undefined) {
                this.setOrganisation(account, current);
                return [];
            }
            this.accounts.delete(name);
            this.activeAccounts.delete(account);
            return [...account.waiting.map(({ request }) => this.refuse(request, 0)), ...this.endRefusals(account, Number.POSITIVE_INFINITY)];
        });
    }

    private getOrCreate(organisation: OrganisationItem): Account {
        const existing = this.accounts.get(organisation.name);
        if (existing !== undefined) {
            this.setOrganisation(existing, organisation);
            return existing;
        }
        const created: Account = {
            organisation,
            bounds: quotaBounds(organisation, this.options.terms),
            tokens: [],
            waiting: [],
            asked: undefined,
            sentAsks: new Map(),
            emptyUntilMs: new Map(),
            local: LocalQuota.create(this.options.random),
            recentGrants: 0,
            recentAtMs: 0,
            promisedAtMs: Number.NEGATIVE_INFINITY,
            refusedAtMs: undefined,
            refusals: 0,
        };
        this.accounts.set(organisation.name, created);
        return created;
    }

    private setOrganisation(account: Account, organisation: OrganisationItem): void {
        const { ratePerSecond, burst } = account.organisation;
        if (ratePerSecond !== organisation.ratePerSecond || burst !== organisation.burst) {
            account.bounds = quotaBounds(organisation, this.options.terms);
            // A raised limit may have tokens at once.
            account.emptyUntilMs.clear();
        }
        account.organisation = organisation;
    }

    private addTokens(account: Account, count: number, expiresAtMs: number): void {
        for (let added = 0; added < count; added += 1) {
            account.tokens.push({ expiresAtMs });
        }
        account.tokens.sort((left, right) => left.expiresAtMs - right.expiresAtMs);
    }

    private advanceAccount(account: Account, view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        account.tokens = account.tokens.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
        const granted = account.waiting.splice(0, account.tokens.length);
        const used = account.tokens.splice(0, granted.length);
        const grants = granted.map(({ request }, index) => this.grant(account, request, used[index]?.expiresAtMs ?? nowMs, nowMs));
        const effects = account.waiting.length === 0 ? grants : [...grants, ...this.serveWaiting(account, view, nowMs)];
        if (account.waiting.length === 0 && account.refusedAtMs === undefined) {
            this.activeAccounts.delete(account);
        }
        return effects;
    }

    /** Asks the next control VM for the tokens of the requests that wait, or decides on them without it. */
    private serveWaiting(account: Account, view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        const usable = this.usableControls(view, nowMs);
        const search: readonly QuotaEffect[] = this.needsRelay(view, nowMs) ? [{ kind: QuotaEffectKind.FindRelays }] : [];
        if (usable.length === 0 && view.mayFindRelay === true) {
            return search;
        }
        const contact = [...search, ...this.recordContact(usable.length > 0)];
        const { asked } = account;
        if (asked !== undefined && view.controls.some((control) => pathKey(control) === pathKey(asked))) {
            return contact;
        }
        account.asked = undefined;
        if (usable.length === 0) {
            return [...contact, ...account.waiting.splice(0).flatMap((waiting) => this.decideLocally(account, waiting, view, nowMs))];
        }
        const target = this.chooseControl(account, usable, nowMs);
        const next = target === undefined ? this.refuseWaiting(account, usable, view, nowMs) : [this.ask(account, target, nowMs)];
        return [...contact, ...next];
    }

    /** Control VMs that can be asked: those with a link, unless too many of these are silent and there is a relay. */
    private usableControls({ controls }: QuotaView, nowMs: number): readonly QuotaControl[] {
        const reachable = controls.filter((control) => !this.isSilent(control, nowMs));
        const linked = reachable.filter(({ relay }) => relay === undefined);
        const relayed = reachable.filter(({ relay }) => relay !== undefined);
        const silentCount = controls.filter((control) => control.relay === undefined && this.isSilent(control, nowMs)).length;
        return linked.length === 0 || (silentCount >= MIN_SILENT_CONTROLS && relayed.length > 0) ? relayed : linked;
    }

    /** True from the first silent control VM, so that relays are known once they are used. */
    private needsRelay({ controls }: QuotaView, nowMs: number): boolean {
        const linked = controls.filter(({ relay }) => relay === undefined);
        return linked.length === 0 || linked.some((control) => this.isSilent(control, nowMs));
    }

    private isSilent(path: QuotaPath, nowMs: number): boolean {
        return (this.silentUntilMs.get(pathKey(path)) ?? 0) > nowMs;
    }

    private chooseControl(account: Account, usable: readonly QuotaControl[], nowMs: number): QuotaControl | undefined {
        const ready = usable.filter((control) => (account.emptyUntilMs.get(pathKey(control)) ?? 0) <= nowMs);
        return controlOrder(ready, this.options, account.organisation.name)[0];
    }

    private ask(account: Account, { vm, relay }: QuotaControl, nowMs: number): QuotaEffect {
        const horizonMs = Math.min(PREFETCH_MS, account.bounds.leaseMs / 2);
        const ahead = Math.floor(this.recentPerSecond(account, nowMs) * horizonMs / MS_PER_SECOND);
        const count = account.waiting.length + ahead;
        const id = this.askCount += 1;
        const path = { vm, relay };
        const key = pathKey(path);
        account.asked = path;
        forgetFormerPaths(account, nowMs);
        const unanswered = (account.sentAsks.get(key) ?? []).filter(({ sentAtMs }) => sentAtMs > nowMs - MAX_REPLY_MS);
        account.sentAsks.set(key, [...unanswered, { id, count, sentAtMs: nowMs, replyDueAtMs: nowMs + REPLY_TIMEOUT_MS }]);
        return { kind: QuotaEffectKind.Ask, id, path, organisation: account.organisation.name, count };
    }

    /** Counts a control VM that has not replied in time as out of contact. A later reply still brings its tokens. */
    private recordSilence(account: Account, nowMs: number): readonly QuotaEffect[] {
        const { asked } = account;
        if (asked === undefined || this.replyDueAtMs(account).every((dueAtMs) => dueAtMs > nowMs)) {
            return [];
        }
        [...this.silentUntilMs].filter(([, untilMs]) => untilMs <= nowMs).forEach(([key]) => this.silentUntilMs.delete(key));
        this.silentUntilMs.set(pathKey(asked), nowMs + SILENCE_MS);
        account.asked = undefined;
        return asked.relay === undefined ? [] : [{ kind: QuotaEffectKind.RelaySilent, relay: asked.relay }];
    }

    private replyDueAtMs({ asked, sentAsks }: Account): readonly number[] {
        const latest = asked === undefined ? undefined : sentAsks.get(pathKey(asked))?.at(-1);
        return latest === undefined ? [] : [latest.replyDueAtMs];
    }

    private recordContact(hasContact: boolean): readonly QuotaEffect[] {
        this.hasBeenInContact ||= hasContact;
        if (this.hasContact === hasContact) {
            return [];
        }
        this.hasContact = hasContact;
        return [{ kind: QuotaEffectKind.ContactChanged, hasContact, localGrants: this.localTotal }];
    }

    /** Decides on a request for which no control VM can be asked. After a restart, there is no token before the first contact. */
    private decideLocally(account: Account, waiting: WaitingRequest, view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        const waitMs = this.hasBeenInContact ? account.local.take(account.bounds, view.proxyCount, nowMs) : SILENCE_MS;
        if (waitMs === 0) {
            this.localTotal += 1;
            return [this.grant(account, waiting.request, nowMs, nowMs)];
        }
        // Contact may return by then, which is more likely than a token of this proxy.
        return this.refuseWith(account, waiting, Math.min(waitMs, SILENCE_MS), nowMs);
    }

    /**
     * Refuses all requests that wait. The first caller is told when a token is due. Once callers are refused, others compete for that
     * token, so that the next ones are told times as far apart as the tokens that this proxy gets.
     */
    private refuseWaiting(account: Account, usable: readonly QuotaControl[], view: QuotaView, nowMs: number): readonly QuotaEffect[] {
        const earliestAtMs = Math.min(...usable.map((control) => account.emptyUntilMs.get(pathKey(control)) ?? nowMs));
        const { ratePerSecond } = account.organisation;
        const perSecond = Math.min(ratePerSecond, Math.max(ratePerSecond / view.proxyCount, this.recentPerSecond(account, nowMs)));
        return account.waiting.splice(0).flatMap((waiting) => {
            const ownAtMs = account.refusedAtMs === undefined ? nowMs : Math.max(nowMs, account.promisedAtMs) + MS_PER_SECOND / perSecond;
            const dueAtMs = Math.max(earliestAtMs, ownAtMs);
            account.promisedAtMs = Math.min(dueAtMs, nowMs + MAX_RETRY_AFTER_MS);
            return this.refuseWith(account, waiting, dueAtMs - nowMs, nowMs);
        });
    }

    private refuseWith(account: Account, waiting: WaitingRequest, waitMs: number, nowMs: number): readonly QuotaEffect[] {
        const isFirst = account.refusedAtMs === undefined;
        account.refusedAtMs = nowMs;
        account.refusals += 1;
        const start: QuotaEffect = {
            kind: QuotaEffectKind.RefusalsChanged,
            organisation: account.organisation.name,
            isRefusing: true,
            refusals: account.refusals,
        };
        const refusal = this.refuse(waiting.request, waitMs);
        return isFirst ? [start, refusal] : [refusal];
    }

    private refuse(request: number, waitMs: number): QuotaEffect {
        const retryAfterMs = Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
        return { kind: QuotaEffectKind.Decide, request, decision: { kind: QuotaDecisionKind.Refused, retryAfterMs } };
    }

    private endRefusals(account: Account, nowMs: number): readonly QuotaEffect[] {
        if (account.refusedAtMs === undefined || nowMs < account.refusedAtMs + REFUSALS_END_MS) {
            return [];
        }
        const { refusals, organisation: { name } } = account;
        account.refusedAtMs = undefined;
        account.refusals = 0;
        if (account.waiting.length === 0) {
            this.activeAccounts.delete(account);
        }
        return [{ kind: QuotaEffectKind.RefusalsChanged, organisation: name, isRefusing: false, refusals }];
    }

    private grant(account: Account, request: number, expiresAtMs: number, nowMs: number): QuotaEffect {
        account.recentGrants = this.recentPerSecond(account, nowMs) * RATE_WINDOW_MS / MS_PER_SECOND + 1;
        account.recentAtMs = nowMs;
        return { kind: QuotaEffectKind.Decide, request, decision: { kind: QuotaDecisionKind.Granted, expiresAtMs } };
    }

    private recentPerSecond({ recentGrants, recentAtMs }: Account, nowMs: number): number {
        return recentGrants * Math.exp((recentAtMs - nowMs) / RATE_WINDOW_MS) * MS_PER_SECOND / RATE_WINDOW_MS;
    }
}

function clearAsked(account: Account, key: string): void {
    if (account.asked !== undefined && pathKey(account.asked) === key) {
        account.asked = undefined;
    }
}

/** Drops waits that have ended and asks that get no reply any more, since the proxies that pass asks on change. */
function forgetFormerPaths({ emptyUntilMs, sentAsks }: Account, nowMs: number): void {
    if (emptyUntilMs.size <= MAX_PATHS && sentAsks.size <= MAX_PATHS) {
        return;
    }
    [...emptyUntilMs].filter(([, untilMs]) => untilMs <= nowMs).forEach(([key]) => emptyUntilMs.delete(key));
    [...sentAsks].filter(([, asks]) => asks.every(({ sentAtMs }) => sentAtMs <= nowMs - MAX_REPLY_MS)).forEach(([key]) => sentAsks.delete(key));
}
