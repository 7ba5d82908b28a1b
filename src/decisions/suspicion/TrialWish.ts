/** Which work an endpoint that is not trusted should be tried with now. */
export enum TrialWish {
    None,
    /** Work that may be repeated. */
    Repeatable,
    /** Any work: the endpoint has been without work for so long that nothing else would show whether it has recovered. */
    Any,
}
