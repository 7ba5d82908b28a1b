/** Host that the requests of a `FleetModel` are sent to. */
export const MODEL_HOST = "model.example";
