import { ConfigurationController } from "../controllers/ConfigurationController/index.js";
import { LinkNetwork } from "../controllers/LinkNetwork.js";
import { MembershipController } from "../controllers/MembershipController/index.js";
import { LinkController } from "../links/LinkController/index.js";
import { EventLog } from "../logs/EventLog/index.js";
import { Settings } from "../settings/Settings.js";

/** Settings and controllers that the proxy role of a process uses. */
export interface ProxyDependencies {
    readonly settings: Settings;
    /** Ports that the role listens on. */
    readonly ports: NonNullable<Settings["proxy"]>;
    /** Incarnation of the process. */
    readonly incarnation: string;
    readonly configuration: ConfigurationController;
    readonly membership: MembershipController;
    readonly links: LinkController;
    readonly network: LinkNetwork;
    readonly events: EventLog;
}
