import { LimitsItem } from "./LimitsItem.js";
import { OrganisationItem } from "./OrganisationItem.js";
import { RouteItem } from "./RouteItem.js";
import { ServiceItem } from "./ServiceItem.js";

/** Content of a configuration item. */
export type Item = RouteItem | ServiceItem | OrganisationItem | LimitsItem;
