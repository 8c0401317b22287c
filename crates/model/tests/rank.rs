//! Order and priority levels of combined workspace and route ranks.

use model::forward::Rank;

#[test]
fn workspace_rank_precedes_route_rank() {
    let order = [
        Rank::new(Some(0), 2),
        Rank::new(Some(1), 0),
        Rank::new(Some(1), 1),
        Rank::new(Some(1), 2),
        Rank::new(Some(2), 0),
    ];
    assert!(order.is_sorted());
    assert!(order.is_sorted_by_key(|r| r.level()));
    assert_eq!(
        Rank::new(None, 2),
        Rank::new(Some(2), 2),
        "a workspace without a rank has that of the route"
    );
    let high = Rank::new(Some(200), 200);
    assert_eq!(high.level(), 9, "levels are capped");
}
