import { SocketBudget } from "../frames/SocketBudget/index.js";
import { FleetError } from "../model/FleetError.js";
import { LinkBytes } from "./LinkBytes.js";
import { Message } from "./Message.js";
import { PeerIdentity } from "./PeerIdentity.js";
import { WsLink } from "./WsLink/index.js";

/** Options of a link: the local identity and the callbacks for its events. */
export interface WsLinkOptions {
    readonly identity: PeerIdentity;
    readonly fleetKey: string;
    /** True at the end that accepted the socket. */
    readonly isServer: boolean;
    /** Address of the other end, for errors before its identity is known. */
    readonly address: string;
    /** Byte counters shared by all links of the process. */
    readonly bytes: LinkBytes;
    /** Bounds what the links of the process hold; watches the socket. */
    readonly budget: SocketBudget;
    readonly onOpen: (link: WsLink) => void;
    readonly onMessage: (link: WsLink, message: Message) => void;
    readonly onCall: (link: WsLink, message: Message) => Promise<Message | undefined>;
    readonly onClose: (link: WsLink, wasOpen: boolean) => void;
    readonly onError: (error: FleetError) => void;
    /** Called if a message cannot be handled; the link stays open. */
    readonly onMessageError: (error: FleetError) => void;
}
