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
    /** Keeps a link alive both ways: `heard` is the last sequence received from the other end. */
    | {
        readonly kind: MessageKind.Heartbeat;
        readonly sequence: number;
        readonly heard: number;
        readonly position: ConfigurationVersion;
    }
    | { readonly kind: MessageKind.Members; readonly records: readonly MemberRecord[] }
    | { readonly kind: MessageKind.MemberSummary; readonly buckets: readonly number[] }
    | {
        readonly kind: MessageKind.MemberStamps;
        readonly buckets: readonly number[];
        readonly stamps: readonly MemberStamp[];
        /** Whether the receiver should send its own stamps back. */
        readonly wantsReply: boolean;
    }
    | { readonly kind: MessageKind.Suspicion; readonly suspicion: Suspicion }
    /** The sender has more links than it needs and is about to close this one. */
    | { readonly kind: MessageKind.Unlink }
    | { readonly kind: MessageKind.ConfigurationFetch; readonly have: ConfigurationVersion }
    | { readonly kind: MessageKind.ConfigurationChanges; readonly changes: readonly AcceptedChange[] }
    | {
        readonly kind: MessageKind.ConfigurationSnapshot;
        readonly position: ConfigurationVersion;
        readonly parts: readonly ManifestPart[];
    }
    | { readonly kind: MessageKind.Settle; readonly question: SettleRequest }
    | { readonly kind: MessageKind.Verdict; readonly verdict: SettleResult }
    | { readonly kind: MessageKind.Witness; readonly request: WitnessRequest }
    | { readonly kind: MessageKind.WitnessReply; readonly reply: WitnessReply }
    | { readonly kind: MessageKind.Quorum; readonly from: string; readonly message: QuorumMessage }
    /** An apply request that another control VM passes on to the leader. */
    | { readonly kind: MessageKind.Apply; readonly request: ApplyRequest }
    /** `decision` is undefined if there is none; `problem` says why. */
    | { readonly kind: MessageKind.ApplyReply; readonly decision: ApplyDecision | undefined; readonly problem: string }
    | { readonly kind: MessageKind.Strike; readonly fingerprint: string; readonly loss: string }
    | { readonly kind: MessageKind.Acquittal; readonly fingerprint: string }
    /** A witness that has lost its memory asks for the claims of another. */
    | { readonly kind: MessageKind.ClaimsFetch }
    /** What a process knows of the control VMs: all tell each other, so that stale seeds do not matter for long. */
    | { readonly kind: MessageKind.ControlPeers; readonly self: ControlPeer | undefined; readonly peers: readonly ControlPeer[] }
    /** The sender wants, or no longer wants, the news of the fleet and of the items from this control VM. */
    | { readonly kind: MessageKind.Subscribe; readonly wants: boolean; readonly wantsLoads: boolean }
    /** `loads` as `packLoads` packs them. */
    | { readonly kind: MessageKind.FleetNews; readonly records: readonly GateRecord[]; readonly loads: Uint8Array }
    /**
     * `isComplete` if these are all items, so that what is not among them does not exist; `position` in the log up to which
     * the sender has now sent all changes.
     */
    | {
        readonly kind: MessageKind.ItemNews;
        readonly items: readonly VersionedItem[];
        readonly isComplete: boolean;
        readonly position: number;
    }
    | { readonly kind: MessageKind.ProposeItems; readonly changes: readonly VersionedItem[] }
    /** `outcome` is undefined if it is not known; `problem` says why. */
    | { readonly kind: MessageKind.ItemsDecided; readonly outcome: ItemOutcome | undefined; readonly problem: string }
    | { readonly kind: MessageKind.ReadItems }
    | { readonly kind: MessageKind.ItemsRead; readonly items: readonly VersionedItem[] | undefined; readonly problem: string }
    /** `entries` is undefined while the memory of the asked witness is not complete itself. */
    | { readonly kind: MessageKind.ClaimsCopy; readonly entries: readonly ClaimEntry[] | undefined };
