/** Class of a service; determines the order of admission, hedging and the rules for floors. */
export enum ServiceClass {
    Lookup = "lookup",
    Submission = "submission",
    Order = "order",
    Catalogue = "catalogue",
    Archive = "archive",
    Drawing = "drawing",
    Internal = "internal",
}
