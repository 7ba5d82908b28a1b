import { ClaimEntry } from "../decisions/claims/ClaimEntry.js";
import { WitnessReply } from "../decisions/claims/WitnessReply.js";
import { WitnessRequest } from "../decisions/claims/WitnessRequest.js";
import { AcceptedChange } from "../decisions/configuration/AcceptedChange.js";
import { ApplyDecision } from "../decisions/configuration/ApplyDecision.js";
import { ApplyRequest } from "../decisions/configuration/ApplyRequest.js";
import { ManifestPart } from "../decisions/configuration/ManifestPart.js";
import { GateRecord } from "../decisions/fleet/GateRecord.js";
import { ItemOutcome } from "../decisions/items/ItemOutcome.js";
import { VersionedItem } from "../decisions/items/VersionedItem.js";
import { MemberStamp } from "../decisions/membership/MemberStamp.js";
import { Suspicion } from "../decisions/membership/Suspicion.js";
import { QuotaAsk } from "../decisions/quotas/QuotaAsk.js";
import { QuotaGrant } from "../decisions/quotas/QuotaGrant.js";
import { QuorumMessage } from "../decisions/quorum/QuorumMessage.js";
import { SettleResult } from "../model/SettleResult.js";
import { ConfigurationVersion } from "../model/ConfigurationVersion.js";
import { MemberRecord } from "../model/MemberRecord.js";
import { SettleRequest } from "../model/SettleRequest.js";
import { ControlPeer } from "./ControlPeer.js";
import { MessageKind } from "./MessageKind.js";
import { PeerIdentity } from "./PeerIdentity.js";

/** A message on a link. */
export type Message =
    | { readonly kind: MessageKind.Challenge; readonly nonce: string }
    | { readonly kind: MessageKind.Hello; readonly identity: PeerIdentity; readonly nonce: string; readonly proof: string }
    | { readonly kind: MessageKind.Welcome; readonly identity: PeerIdentity; readonly proof: string }
    /** Checks that a link works in both directions: `heard` is the last sequence received from the other end. */
    | {
        readonly kind: MessageKind.Heartbeat;
        readonly sequence: number;
        readonly heard: number;
        readonly position: ConfigurationVersion;
    }
    | { readonly kind: MessageKind.Members; readonly records: readonly MemberRecord[] }
    /** Starts anti-entropy: `buckets` are the hashes of the sender's directory. */
    | { readonly kind: MessageKind.MemberSummary; readonly buckets: readonly number[] }
    | {
        readonly kind: MessageKind.MemberStamps;
        readonly buckets: readonly number[];
        readonly stamps: readonly MemberStamp[];
        /** Whether the receiver should reply with its own stamps. */
        readonly wantsReply: boolean;
    }
    | { readonly kind: MessageKind.Suspicion; readonly suspicion: Suspicion }
    /** The sender has too many links and is about to close this one. */
    | { readonly kind: MessageKind.Unlink }
    | { readonly kind: MessageKind.ConfigurationFetch; readonly have: ConfigurationVersion }
    | { readonly kind: MessageKind.ConfigurationChanges; readonly changes: readonly AcceptedChange[] }
    | {
        readonly kind: MessageKind.ConfigurationSnapshot;
        readonly position: ConfigurationVersion;
        readonly parts: readonly ManifestPart[];
    }
    /** Asks a gate for the outcome of an attempt, and voids the attempt first if the mode says so and it has not started. */
    | { readonly kind: MessageKind.Settle; readonly question: SettleRequest }
    /** Reply to `Settle`. */
    | { readonly kind: MessageKind.Verdict; readonly verdict: SettleResult }
    | { readonly kind: MessageKind.Witness; readonly request: WitnessRequest }
    | { readonly kind: MessageKind.WitnessReply; readonly reply: WitnessReply }
    | { readonly kind: MessageKind.Quorum; readonly from: string; readonly message: QuorumMessage }
    /** An apply request that another control VM forwards to the leader. */
    | { readonly kind: MessageKind.Apply; readonly request: ApplyRequest }
    /** `decision` is undefined if the request failed; `problem` then holds the reason. */
    | { readonly kind: MessageKind.ApplyReply; readonly decision: ApplyDecision | undefined; readonly problem: string }
    /** A backend server was lost while the request was in flight; `loss` identifies the loss, so that it counts once. */
    | { readonly kind: MessageKind.Strike; readonly fingerprint: string; readonly loss: string }
    /** The request was answered, so that its strikes no longer count. */
    | { readonly kind: MessageKind.StrikesCleared; readonly fingerprint: string }
    /** A witness that lost its claims asks another one for its copy. */
    | { readonly kind: MessageKind.ClaimsFetch }
    /** The control VMs known to a process. All processes exchange them, so that outdated seeds soon cease to matter. */
    | { readonly kind: MessageKind.ControlPeers; readonly self: ControlPeer | undefined; readonly peers: readonly ControlPeer[] }
    /**
     * Starts or ends the sender's subscription to updates of the fleet and of the configuration items from this control VM. `digests`
     * are those of the items that it has; a process of an earlier version states none and gets all items.
     */
    | { readonly kind: MessageKind.Subscribe; readonly wants: boolean; readonly wantsLoads: boolean; readonly digests?: readonly number[] }
    /** `loads` is encoded by `packLoads`. */
    | { readonly kind: MessageKind.FleetUpdate; readonly records: readonly GateRecord[]; readonly loads: Uint8Array }
    /** Gives a proxy that has restarted the record that its former run published. */
    | { readonly kind: MessageKind.FormerRecord; readonly record: GateRecord }
    /**
     * `isComplete` is true if the receiver has all items with these, so that any other item does not exist. `position` is the log position up
     * to which the sender has now sent all changes.
     */
    | {
        readonly kind: MessageKind.ItemUpdate;
        readonly items: readonly VersionedItem[];
        readonly isComplete: boolean;
        readonly position: number;
    }
    | { readonly kind: MessageKind.ProposeItems; readonly changes: readonly VersionedItem[] }
    /** `outcome` is undefined if it is unknown; `problem` then holds the reason. */
    | { readonly kind: MessageKind.ItemsDecided; readonly outcome: ItemOutcome | undefined; readonly problem: string }
    | { readonly kind: MessageKind.ReadItems }
    | { readonly kind: MessageKind.ItemsRead; readonly items: readonly VersionedItem[] | undefined; readonly problem: string }
    /** A proxy asks a control VM for tokens of organisations. */
    | { readonly kind: MessageKind.QuotaRequest; readonly id: number; readonly asks: readonly QuotaAsk[] }
    /** Reply to the `QuotaRequest` with that id. */
    | { readonly kind: MessageKind.QuotaGrant; readonly id: number; readonly grants: readonly QuotaGrant[] }
    /** `entries` is undefined while the replying witness does not have all its claims itself. */
    | { readonly kind: MessageKind.ClaimsCopy; readonly entries: readonly ClaimEntry[] | undefined };
