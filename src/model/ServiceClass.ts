/** Class of a service; decides admission order, hedging and floor rules. */
export enum ServiceClass {
    Lookup = "lookup",
    Submission = "submission",
    Order = "order",
    Catalogue = "catalogue",
    Archive = "archive",
    Drawing = "drawing",
    Internal = "internal",
}
