import { EntryContent } from "./EntryContent.js";
import { QuorumEventKind } from "./QuorumEventKind.js";
import { QuorumMessage } from "./QuorumMessage.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/** Something that happened at a control VM. */
export type QuorumEvent =
    | { readonly kind: QuorumEventKind.Tick }
    | { readonly kind: QuorumEventKind.Message; readonly from: string; readonly message: QuorumMessage }
    /** Write an entry; ignored unless this VM leads. */
    | { readonly kind: QuorumEventKind.Propose; readonly content: EntryContent }
    /** Become the only voter of a new, empty log. */
    | { readonly kind: QuorumEventKind.Bootstrap }
    /** Replace the log up to a snapshot of the committed state. */
    | { readonly kind: QuorumEventKind.Compact; readonly snapshot: QuorumSnapshot };
